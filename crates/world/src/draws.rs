//! Random draws: one independent stream for each purpose, so that a draw more here shifts nothing there.

use rand::{Rng, RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::Time;
use crate::units::Span;

/// A stream of draws.
#[derive(Clone, Debug)]
pub struct Draws(Pcg64Mcg);

impl Draws {
    /// The stream for one purpose of one day: the same for the same seed, purpose and number.
    pub fn new(seed: u64, purpose: &str, number: u64) -> Self {
        let mut text = Vec::with_capacity(16 + purpose.len());
        text.extend_from_slice(&seed.to_le_bytes());
        text.extend_from_slice(&number.to_le_bytes());
        text.extend_from_slice(purpose.as_bytes());
        Self(Pcg64Mcg::seed_from_u64(xxhash_rust::xxh3::xxh3_64(&text)))
    }

    /// A number from 0 up to, not including, 1.
    pub fn part(&mut self) -> f64 {
        self.0.random()
    }

    /// True so often.
    pub fn chance(&mut self, part: f64) -> bool {
        self.part() < part
    }

    /// A whole number below `count`, 0 where that is 0.
    pub fn below(&mut self, count: usize) -> usize {
        if count == 0 { 0 } else { self.0.random_range(0..count) }
    }

    /// A number within the span, all alike.
    pub fn within(&mut self, span: Span<f64>) -> f64 {
        span.lo + (span.hi - span.lo) * self.part()
    }

    /// A whole number within the span, ends included, all alike.
    pub fn count(&mut self, span: Span<u64>) -> u64 {
        self.0.random_range(span.lo..=span.hi)
    }

    /// A span of time within the span, all alike.
    pub fn time(&mut self, span: Span<Time>) -> Time {
        Time(self.0.random_range(span.lo.0..=span.hi.0))
    }

    /// An exponential draw with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let unit: f64 = Exp1.sample(&mut self.0);
        unit * mean
    }

    /// A log-normal draw with this mean and this ratio of deviation to mean; 0 gives the mean itself.
    pub fn spread(&mut self, mean: f64, ratio: f64) -> f64 {
        if ratio <= 0.0 || mean <= 0.0 {
            return mean;
        }
        let variance = (1.0 + ratio * ratio).ln();
        match LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()) {
            Ok(normal) => normal.sample(&mut self.0),
            Err(_) => mean,
        }
    }

    /// Which of these weights, each as often as its part of their sum.
    pub fn weighted(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut left = self.part() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (at, weight) in weights.enumerate() {
            if weight > 0.0 {
                last = at;
                if left < weight {
                    return at;
                }
                left -= weight;
            }
        }
        last
    }

    /// Any 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Puts a list in a random order.
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for at in (1..list.len()).rev() {
            list.swap(at, self.below(at + 1));
        }
    }
}
