//! Random choices by the generator that the host hands in.

use mosshead_time::{Duration, whole_millis};
use rand_core::RngCore;

/// A number below `end`; 0 if `end` is 0. The bias of the modulo is negligible for ends far below 2^64.
fn below(rng: &mut dyn RngCore, end: u64) -> u64 {
    rng.next_u64().checked_rem(end).unwrap_or(0)
}

/// An index of a list of `length`; 0 if the list is empty.
pub(crate) fn index(rng: &mut dyn RngCore, length: usize) -> usize {
    below(rng, length as u64) as usize
}

/// A duration of whole milliseconds below `end`; zero if `end` is.
pub(crate) fn duration_below(rng: &mut dyn RngCore, end: Duration) -> Duration {
    Duration::from_millis(below(rng, whole_millis(end)))
}

/// Brings a list into a random order (Fisher and Yates).
pub(crate) fn shuffle<T>(rng: &mut dyn RngCore, list: &mut [T]) {
    for last in (1..list.len()).rev() {
        list.swap(last, index(rng, last + 1));
    }
}
