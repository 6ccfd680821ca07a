//! Estimates how overloaded the fleet is from its response times.

use crate::interface::Seconds;

/// The mean fraction of the latency target that recent responses took, with the capacity of the ready servers over the
/// same time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overload {
    /// The mean fraction at `updated_at`; it decays from then on.
    value: f64,
    updated_at: Seconds,
    /// The present capacity of the ready servers.
    capacity: f64,
    /// The mean capacity over these responses; 0 before the first list.
    mean_capacity: f64,
}

impl Overload {
    /// Sets the present capacity of the ready servers.
    pub(crate) fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        if self.mean_capacity == 0.0 {
            self.mean_capacity = capacity;
        }
    }

    /// The mean fraction, which decays with `time_constant` while there are no responses.
    pub(crate) fn read(&self, now: Seconds, time_constant: Seconds) -> f64 {
        self.value * ((self.updated_at - now) / time_constant).exp()
    }

    /// Sets the value that was exported by a former incarnation.
    pub(crate) fn restore(&mut self, now: Seconds, value: f64) {
        (self.value, self.updated_at) = (value, now);
    }

    /// Adds one response with the weight `gain`; `share` is the fraction of the latency target that it took.
    pub(crate) fn add(&mut self, now: Seconds, time_constant: Seconds, share: f64, gain: f64) {
        let before = self.read(now, time_constant);
        (self.value, self.updated_at) = (before + gain * (share - before), now);
        self.mean_capacity += gain * (self.capacity - self.mean_capacity);
    }

    /// The ratio of the mean capacity over recent responses to the present capacity; at least 1.
    pub(crate) fn capacity_loss(&self) -> f64 {
        (self.mean_capacity / self.capacity.max(f64::MIN_POSITIVE)).max(1.0)
    }
}
