//! Random numbers: an independent stream for each purpose, so that one number more here shifts none there.

use rand::{Rng, RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::Time;
use crate::units::ValueRange;

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomStream(Pcg64Mcg);

impl RandomStream {
    /// The stream for one purpose of one day: the same for the same seed, purpose and index.
    pub fn new(seed: u64, purpose: &str, index: u64) -> Self {
        let mut key = Vec::with_capacity(16 + purpose.len());
        key.extend_from_slice(&seed.to_le_bytes());
        key.extend_from_slice(&index.to_le_bytes());
        key.extend_from_slice(purpose.as_bytes());
        Self(Pcg64Mcg::seed_from_u64(xxhash_rust::xxh3::xxh3_64(&key)))
    }

    /// A number from 0 up to, not including, 1.
    pub fn unit_interval(&mut self) -> f64 {
        self.0.random()
    }

    /// True with this probability.
    pub fn random_bool(&mut self, probability: f64) -> bool {
        self.unit_interval() < probability
    }

    /// An index below `count`; 0 where that is 0.
    pub fn index_below(&mut self, count: usize) -> usize {
        if count == 0 { 0 } else { self.0.random_range(0..count) }
    }

    /// A number of the range, uniformly distributed.
    pub fn uniform(&mut self, range: ValueRange<f64>) -> f64 {
        range.min + (range.max - range.min) * self.unit_interval()
    }

    /// A whole number of the range, ends included, uniformly distributed.
    pub fn uniform_count(&mut self, range: ValueRange<u64>) -> u64 {
        self.0.random_range(range.min..=range.max)
    }

    /// A time of the range, ends included, uniformly distributed.
    pub fn uniform_time(&mut self, range: ValueRange<Time>) -> Time {
        Time(self.0.random_range(range.min.0..=range.max.0))
    }

    /// An exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let unit: f64 = Exp1.sample(&mut self.0);
        unit * mean
    }

    /// A log-normally distributed number with this mean and this ratio of deviation to mean; a ratio of 0 gives the mean
    /// itself, and takes no number from the stream.
    pub fn log_normal(&mut self, mean: f64, ratio: f64) -> f64 {
        if ratio <= 0.0 || mean <= 0.0 {
            return mean;
        }
        let variance = (1.0 + ratio * ratio).ln();
        match LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()) {
            Ok(distribution) => distribution.sample(&mut self.0),
            Err(_) => mean,
        }
    }

    /// The index of one of these weights, each with a probability in proportion to its weight.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut left = self.unit_interval() * weights.clone().sum::<f64>();
        // Rounding may leave a rest behind the last weight: then that one is taken.
        let mut last = 0;
        for (index, weight) in weights.enumerate() {
            if weight > 0.0 {
                last = index;
                if left < weight {
                    return index;
                }
                left -= weight;
            }
        }
        last
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Puts a list in a random order.
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for index in (1..list.len()).rev() {
            list.swap(index, self.index_below(index + 1));
        }
    }
}
