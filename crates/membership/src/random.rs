//! Random choices, with the generator that the host provides.

use mosshead_time::{Duration, whole_millis};
use rand_core::RngCore;

/// A random number below `end`; 0 if `end` is 0. The modulo bias is negligible if `end` is far below 2^64.
fn below(rng: &mut dyn RngCore, end: u64) -> u64 {
    rng.next_u64().checked_rem(end).unwrap_or(0)
}

/// A random index into a list of this length; 0 if the list is empty.
pub(crate) fn index(rng: &mut dyn RngCore, length: usize) -> usize {
    below(rng, length as u64) as usize
}

/// A random duration of whole milliseconds below `end`; zero if `end` is zero.
pub(crate) fn duration_below(rng: &mut dyn RngCore, end: Duration) -> Duration {
    Duration::from_millis(below(rng, whole_millis(end)))
}

/// Shuffles a list (Fisher-Yates).
pub(crate) fn shuffle<T>(rng: &mut dyn RngCore, list: &mut [T]) {
    for last in (1..list.len()).rev() {
        list.swap(last, index(rng, last + 1));
    }
}
