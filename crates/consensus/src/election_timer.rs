//! Schedules the attempts of a follower to become primary.

use core::time::Duration;

use mosshead_time::Instant;
use rand_core::RngCore;

use crate::random_delay::random_delay;

/// The attempts of followers that suspect their primary at the same time are spread over this time.
const ATTEMPT_SPREAD: Duration = Duration::from_millis(150);
/// The additional delay of witnesses, so that nodes that hold the state attempt first.
const WITNESS_DELAY: Duration = Duration::from_millis(150);
/// The delay of the first attempt after a start.
const FIRST_ATTEMPT_DELAY: RandomizedDelay = RandomizedDelay::from_millis(150, 200);
/// The delay until pre-votes are requested again.
const PRE_VOTE_RETRY_DELAY: RandomizedDelay = RandomizedDelay::from_millis(100, 80);
/// The delay of the next attempt after a failed take-over.
const TAKE_OVER_RETRY_DELAY: RandomizedDelay = RandomizedDelay::from_millis(100, 250);

/// A fixed delay, and the bound of the random delay that is added to it.
struct RandomizedDelay {
    fixed: Duration,
    spread: Duration,
}

impl RandomizedDelay {
    const fn from_millis(fixed: u64, spread: u64) -> RandomizedDelay {
        RandomizedDelay { fixed: Duration::from_millis(fixed), spread: Duration::from_millis(spread) }
    }
}

/// Schedules the next attempt to become primary. Random delays keep the nodes from attempting at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ElectionTimer {
    next_attempt_at: Instant,
}

impl ElectionTimer {
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        now >= self.next_attempt_at
    }

    /// Schedules the attempt that follows the suspicion of a primary. Nodes that hold the state attempt before the witnesses.
    pub(crate) fn schedule_after_suspicion(
        &mut self,
        suspected_at: Instant,
        rng: &mut impl RngCore,
        holds_state: bool,
    ) {
        let witness_delay = if holds_state { Duration::ZERO } else { WITNESS_DELAY };
        self.next_attempt_at = suspected_at + random_delay(rng, ATTEMPT_SPREAD) + witness_delay;
    }

    /// Schedules the first attempt after the start of the node.
    pub(crate) fn schedule_first_attempt(&mut self, now: Instant, rng: &mut impl RngCore) {
        self.schedule(now, &FIRST_ATTEMPT_DELAY, rng);
    }

    /// Schedules the next request for pre-votes, in case the current one is not granted.
    pub(crate) fn schedule_pre_vote_retry(&mut self, now: Instant, rng: &mut impl RngCore) {
        self.schedule(now, &PRE_VOTE_RETRY_DELAY, rng);
    }

    /// Schedules the attempt that follows a failed take-over.
    pub(crate) fn schedule_take_over_retry(&mut self, now: Instant, rng: &mut impl RngCore) {
        self.schedule(now, &TAKE_OVER_RETRY_DELAY, rng);
    }

    fn schedule(&mut self, now: Instant, delay: &RandomizedDelay, rng: &mut impl RngCore) {
        self.next_attempt_at = now + delay.fixed + random_delay(rng, delay.spread);
    }
}
