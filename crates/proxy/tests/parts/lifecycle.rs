//! Tests of `mosshead::lifecycle`.

use mosshead::lifecycle::Lifecycle;

/// Guards calls that come twice: the first one says since when, and each way back is one.
#[test]
fn a_drain_counts_from_its_first_call_and_comes_back() {
    let lifecycle = Lifecycle::new();
    assert!(lifecycle.set_draining(true) && lifecycle.is_draining());
    let since = *lifecycle.subscribe_draining().borrow();
    assert!(!lifecycle.set_draining(true) && *lifecycle.subscribe_draining().borrow() == since);
    assert!(lifecycle.set_draining(false) && !lifecycle.set_draining(false) && !lifecycle.is_draining());
}

#[test]
fn who_stops_serves_nobody_new_but_stays_ready() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.is_serving());
    lifecycle.set_ready();
    assert!(lifecycle.is_serving());
    lifecycle.set_draining(true);
    assert!(lifecycle.is_serving(), "emptied, the process can still serve");
    lifecycle.set_stopping();
    assert!(lifecycle.is_ready() && !lifecycle.is_serving());
}
