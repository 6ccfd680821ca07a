//! The schedule of a proxy's shutdown: a late request is accepted only if it certainly ends before the exit.

use mosshead_routing::ShutdownSchedule;
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;

const START: Instant = Instant::from_millis(1_000_000);
/// RULES.md, LOST: the exit may cut off requests that were sent up to this time after SIGTERM.
const MAX_CUT_OFF_SENT: Duration = Duration::from_millis(3000);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

quickcheck! {
    /// The responses are due before the exit, and the exit lies in the last sixth of the grace period, in which the
    /// rule allows to cut off early requests (RULES.md, LOST).
    fn the_exit_lies_in_the_last_sixth_of_the_grace_period(grace: u32) -> bool {
        let grace = millis(u64::from(grace) % 600_000);
        let schedule = ShutdownSchedule::new(START, grace);
        let exits_after = schedule.exits_at() - START;
        exits_after <= grace && exits_after >= grace * 5 / 6 && schedule.responses_due_at() <= schedule.exits_at()
    }

    /// Guards against requests that a draining proxy takes and then cuts off (RULES.md, LOST).
    fn a_late_request_is_accepted_only_if_it_ends_before_responses_are_due(
        grace: u16,
        received_after: u16,
        max_duration: u16
    ) -> bool {
        let (received_after, max_duration) = (millis(received_after.into()), millis(max_duration.into()));
        let schedule = ShutdownSchedule::new(START, millis(grace.into()));
        let received_at = START + received_after;
        let ends_in_time = received_at + max_duration <= schedule.responses_due_at();
        let is_accepted = schedule.accepts(received_at, max_duration);
        (!is_accepted || ends_in_time || received_after < MAX_CUT_OFF_SENT) && (is_accepted || !ends_in_time)
    }
}

#[test]
fn early_requests_are_accepted_however_long_they_take() {
    let schedule = ShutdownSchedule::new(START, millis(8000));
    assert!(schedule.accepts(START + millis(2800), Duration::MAX));
    assert!(!schedule.accepts(START + millis(2801), Duration::MAX));
    assert!(schedule.accepts(START + millis(4950), millis(2500)));
    assert!(!schedule.accepts(START + millis(4951), millis(2500)));
}

#[test]
fn an_endless_grace_period_does_not_overflow() {
    let schedule = ShutdownSchedule::new(START, Duration::MAX);
    assert!(schedule.exits_at() < Instant::FAR_FUTURE);
}
