//! Random delays, which prevent nodes from acting at the same time.

use core::time::Duration;

use rand_core::RngCore;

/// A random delay of whole milliseconds, shorter than `bound`; zero if the bound is below two milliseconds.
pub(crate) fn random_delay(rng: &mut impl RngCore, bound: Duration) -> Duration {
    Duration::from_millis(rng.next_u64() % mosshead_time::whole_millis(bound).max(1))
}
