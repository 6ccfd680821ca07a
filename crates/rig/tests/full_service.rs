//! How the time to full service is measured.

use mosshead_rig::full_service::time_to_full_service;
use mosshead_world::Time;
use mosshead_world::scorecard::SpanValue;

fn quarters(shares: &[(usize, f64)]) -> Vec<SpanValue> {
    let quarters = |&(count, share): &(usize, f64)| {
        std::iter::repeat_n(SpanValue { value: 100.0, earned_value: 100.0 * share }, count)
    };
    shares.iter().flat_map(quarters).collect()
}

#[test]
fn a_moment_of_full_service_that_does_not_last_does_not_count() {
    let (outage, from) = (Time::from_millis(3000), Time::from_millis(4000));
    let at_once = quarters(&[(12, 0.96), (4, 0.1), (24, 0.95)]);
    assert_eq!(time_to_full_service(&at_once, outage, from), Some(Time::ZERO));
    let later = quarters(&[(12, 0.96), (4, 0.1), (6, 0.5), (24, 0.95)]);
    assert_eq!(time_to_full_service(&later, outage, from), Some(Time::from_millis(1500)));
    let interrupted = quarters(&[(12, 0.96), (4, 0.1), (8, 0.95), (4, 0.2), (24, 0.95)]);
    assert_eq!(time_to_full_service(&interrupted, outage, from), Some(Time::from_millis(3000)));
    let too_short = quarters(&[(12, 0.96), (4, 0.1), (19, 0.95)]);
    assert_eq!(time_to_full_service(&too_short, outage, from), None);
}
