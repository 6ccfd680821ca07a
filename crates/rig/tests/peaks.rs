//! How peaks are found.

use mosshead_rig::peaks::{FullestSpan, fullest_span};
use mosshead_world::Time;

/// Every bound on peaks depends on this: the span may begin anywhere.
#[test]
fn the_fullest_span_is_found_wherever_it_begins() {
    let instants: Vec<Time> = [0, 90, 100, 101, 150, 400].into_iter().map(Time::from_millis).collect();
    let expected = FullestSpan { count: 4, first: Time::from_millis(90) };
    assert_eq!(fullest_span(&instants, Time::from_millis(100)), expected);
    assert_eq!(fullest_span(&[], Time::from_millis(100)).count, 0);
}
