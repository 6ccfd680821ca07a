//! Random delays, so that nodes don't act at the same time.

use core::time::Duration;

use rand_core::RngCore;

/// A random delay of whole milliseconds, shorter than `bound`.
pub(crate) fn random_delay(rng: &mut impl RngCore, bound: Duration) -> Duration {
    Duration::from_millis(rng.next_u64() % mosshead_time::whole_millis(bound).max(1))
}
