//! How overloaded the fleet is, as far as its response times show.

use crate::interface::Seconds;

/// The share of the latency target that recent responses took, and what the ready servers could do meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overload {
    /// The mean share at `updated_at`; it decays from there.
    value: f64,
    updated_at: Seconds,
    /// What the ready servers can do now, by the list.
    capacity: f64,
    /// What they could do while the responses came; 0 before there was a list.
    mean_capacity: f64,
}

impl Overload {
    /// Sets what the ready servers can do now, by the list.
    pub(crate) fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        if self.mean_capacity == 0.0 {
            self.mean_capacity = capacity;
        }
    }

    /// The mean share, which decays with `time_constant` while there is no response.
    pub(crate) fn read(&self, now: Seconds, time_constant: Seconds) -> f64 {
        self.value * ((self.updated_at - now) / time_constant).exp()
    }

    /// Starts from what a former incarnation knew.
    pub(crate) fn restore(&mut self, now: Seconds, value: f64) {
        (self.value, self.updated_at) = (value, now);
    }

    /// Adds the share that one response took, with the weight `gain`.
    pub(crate) fn add(&mut self, now: Seconds, time_constant: Seconds, share: f64, gain: f64) {
        let before = self.read(now, time_constant);
        (self.value, self.updated_at) = (before + gain * (share - before), now);
        self.mean_capacity += gain * (self.capacity - self.mean_capacity);
    }

    /// How many times less the servers can do now than while the responses came; at least 1.
    pub(crate) fn capacity_loss(&self) -> f64 {
        (self.mean_capacity / self.capacity.max(f64::MIN_POSITIVE)).max(1.0)
    }
}
