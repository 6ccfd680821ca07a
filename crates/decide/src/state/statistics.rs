//! Exponentially weighted means and rates.

use crate::interface::Seconds;

/// A running mean: the plain mean of the first samples, then an exponentially weighted one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    /// The number of samples that the value counts for.
    pub(crate) samples: f64,
}

impl Mean {
    /// Starts from `value`, which counts for this many samples.
    pub(crate) fn new(value: f64, samples: f64) -> Self {
        Self { value, samples }
    }

    /// Adds a sample with the weight `gain`, or a higher one while there are few samples.
    pub(crate) fn add(&mut self, sample: f64, gain: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * gain.max(1.0 / self.samples);
    }
}

/// An exponentially decaying rate of events.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    /// The decayed count at `updated_at`.
    count: f64,
    updated_at: Seconds,
}

impl Rate {
    /// Events per second, averaged over about the last `time_constant` seconds.
    pub(crate) fn read(&self, now: Seconds, time_constant: Seconds) -> f64 {
        self.count * (-(now - self.updated_at).max(0.0) / time_constant).exp() / time_constant
    }

    /// Counts one event.
    pub(crate) fn add(&mut self, now: Seconds, time_constant: Seconds) {
        self.count = self.read(now, time_constant) * time_constant + 1.0;
        self.updated_at = now;
    }
}
