//! How long leases and permits last, and when calls to the store are due.

use core::time::Duration;

use crate::instant::whole_micros;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// The durations by which a member acquires a role, holds it and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long the store keeps a lease that is not renewed.
    pub lease_duration: Duration,
    /// By how many parts in a million this machine's clock and the store's may differ in speed; at most 1,000,000.
    pub clock_drift_ppm: u64,
    /// How long after a renewal was sent the next one is due.
    pub renewal_interval: Duration,
    /// The least delay after a failed call; jitter adds up to as much again.
    pub retry_delay: Duration,
}

impl LeaseTiming {
    /// How long a holder may act, by its own clock, from when it sent the call that acquired or renewed the lease.
    pub fn permit_duration(&self) -> Duration {
        self.lease_duration - self.drift_over(self.lease_duration)
    }

    /// How long to wait, by this clock, until a lease of which nothing more is known has ended for certain.
    pub fn expiry_wait(&self) -> Duration {
        self.lease_duration + self.drift_over(self.lease_duration)
    }

    /// The delay after a failed call. `jitter_millionths`, a draw from 0 to 999,999, keeps a fleet's retries apart.
    pub(crate) fn retry_delay_with_jitter(&self, jitter_millionths: u64) -> Duration {
        let delay = whole_micros(self.retry_delay);
        let jitter = delay * jitter_millionths.min(PARTS_PER_MILLION - 1) / PARTS_PER_MILLION;
        Duration::from_micros(delay + jitter)
    }

    /// By how much this clock may fall behind the store's in a span, in whole microseconds.
    fn drift_over(&self, span: Duration) -> Duration {
        let micros = whole_micros(span);
        let of_whole_seconds = (micros / PARTS_PER_MILLION).saturating_mul(self.clock_drift_ppm);
        let of_the_rest =
            (micros % PARTS_PER_MILLION) * self.clock_drift_ppm.min(PARTS_PER_MILLION) / PARTS_PER_MILLION;
        Duration::from_micros(of_whole_seconds + of_the_rest)
    }
}
