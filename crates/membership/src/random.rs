//! Draws from the generator that the host hands in.

use rand_core::RngCore;

/// Below `end`; 0 if that is 0.
pub(crate) fn below(generator: &mut dyn RngCore, end: u64) -> u64 {
    generator.next_u64().checked_rem(end).unwrap_or(0)
}

/// An index of a list of `length`.
pub(crate) fn index(generator: &mut dyn RngCore, length: usize) -> usize {
    below(generator, length as u64) as usize
}

pub(crate) fn shuffle<T>(generator: &mut dyn RngCore, list: &mut [T]) {
    for last in (1..list.len()).rev() {
        list.swap(last, index(generator, last + 1));
    }
}
