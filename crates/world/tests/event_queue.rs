//! The order of the event queue.

use mosshead_world::Time;
use mosshead_world::event_queue::EventQueue;

/// Guards determinism: an order among equals that the heap picks would leak into results.
#[test]
fn equal_instants_keep_the_order_of_entry() {
    let mut queue = EventQueue::default();
    for event in 0..100 {
        queue.push(Time(event % 3), event);
    }
    let all: Vec<_> = std::iter::from_fn(|| queue.pop(Time::NEVER)).collect();
    let mut sorted = all.clone();
    sorted.sort();
    assert_eq!(all, sorted);
    queue.push(Time(0), 7);
    assert_eq!(queue.pop(Time::NEVER), Some((Time(2), 7)), "an event of the past is due now");
}
