//! Means and rates that forget.

use crate::interface::Seconds;

/// A running mean: of all samples at first, then one that forgets.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    /// How many samples the value counts for.
    pub(crate) samples: f64,
}

impl Mean {
    /// Starts from `value`, which counts as so many samples.
    pub(crate) fn new(value: f64, samples: f64) -> Self {
        Self { value, samples }
    }

    /// Adds a sample with at least the weight `gain`, and more while there are few.
    pub(crate) fn add(&mut self, sample: f64, gain: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * gain.max(1.0 / self.samples);
    }
}

/// The rate of events, which forgets exponentially.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rate {
    /// The decayed count at `updated_at`.
    count: f64,
    updated_at: Seconds,
}

impl Rate {
    /// Events per second, over about the last `time_constant`.
    pub(crate) fn read(&self, now: Seconds, time_constant: Seconds) -> f64 {
        self.count * (-(now - self.updated_at).max(0.0) / time_constant).exp() / time_constant
    }

    /// Counts one event.
    pub(crate) fn add(&mut self, now: Seconds, time_constant: Seconds) {
        self.count = self.read(now, time_constant) * time_constant + 1.0;
        self.updated_at = now;
    }
}
