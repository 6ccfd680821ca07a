use mosshead_time::{Duration, whole_millis};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::millis;

/// The one source of chance of a simulation: all that is random in it follows from the seed and from the order of draws.
#[derive(Clone, Debug)]
pub struct RandomSource {
    generator: Pcg64Mcg,
}

impl RandomSource {
    /// The source of this seed.
    pub fn from_seed(seed: u64) -> RandomSource {
        RandomSource { generator: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Any number.
    pub fn next_u64(&mut self) -> u64 {
        self.generator.next_u64()
    }

    /// A number below the bound; zero if the bound is zero, which takes a draw, too.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// The index of an element of a list of this length; zero if it is empty.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    /// One of these, if there is any.
    pub fn pick<T: Copy>(&mut self, from: &[T]) -> Option<T> {
        let index = self.index(from.len());
        from.get(index).copied()
    }

    /// A span of whole milliseconds below the bound; zero if the bound is less than two milliseconds.
    pub fn duration_below(&mut self, bound: Duration) -> Duration {
        millis(self.below(whole_millis(bound)))
    }

    /// True in so many cases of a thousand.
    pub fn is_per_mille(&mut self, per_mille: u64) -> bool {
        self.below(1_000) < per_mille
    }

    /// True in one of so many cases.
    pub fn is_one_in(&mut self, cases: u64) -> bool {
        self.below(cases) == 0
    }
}
