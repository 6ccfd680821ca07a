//! How long a lease permits acts, and when it has certainly expired.

use mosshead_lease::LeaseTiming;
use std::time::Duration;

fn timing(clock_drift_ppm: u64) -> LeaseTiming {
    LeaseTiming {
        lease_duration: Duration::from_millis(3500),
        clock_drift_ppm,
        renewal_interval: Duration::from_secs(1),
        retry_delay: Duration::from_millis(100),
    }
}

#[test]
fn a_permit_ends_before_the_lease_and_the_wait_after_it() {
    let slightly = timing(1000);
    assert_eq!(slightly.permit_duration(), Duration::from_micros(3_496_500));
    assert_eq!(slightly.expiry_wait(), Duration::from_micros(3_503_500));
}

/// Guards against an underflow, and so a panic, with a drift that no clock has.
#[test]
fn with_any_greater_drift_a_lease_permits_nothing() {
    for drift in [1_000_000, 1_000_001, 7_000_000, u64::MAX] {
        assert_eq!(timing(drift).permit_duration(), Duration::ZERO, "{drift}");
        assert!(timing(drift).expiry_wait() >= Duration::from_secs(7), "{drift}");
    }
}
