//! Tests of `mosshead::lifecycle`.

use mosshead::lifecycle::Lifecycle;

#[test]
fn a_drain_counts_from_its_first_start_and_can_be_stopped() {
    let lifecycle = Lifecycle::new();
    assert!(lifecycle.start_draining() && lifecycle.is_draining());
    let since = *lifecycle.subscribe_draining().borrow();
    assert!(!lifecycle.start_draining() && *lifecycle.subscribe_draining().borrow() == since);
    assert!(lifecycle.stop_draining() && !lifecycle.stop_draining() && !lifecycle.is_draining());
}

#[test]
fn a_process_that_stops_is_healthy_but_no_longer_serving() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.is_serving());
    lifecycle.set_ready();
    assert!(lifecycle.is_serving());
    lifecycle.start_draining();
    assert!(lifecycle.is_serving(), "a process that drains serves the requests that arrive");
    lifecycle.set_stopping();
    assert!(lifecycle.is_ready() && !lifecycle.is_serving());
}
