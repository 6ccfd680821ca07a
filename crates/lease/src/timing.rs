//! Durations of leases and permits, and the timing of calls to the store.

use core::time::Duration;

use crate::instant::whole_micros;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// The durations that a member uses to acquire, hold and retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long the store keeps a lease that is not renewed.
    pub lease_duration: Duration,
    /// The maximum difference in speed between this machine's clock and the store's, in parts per million. With
    /// 1,000,000 or more a lease permits nothing.
    pub clock_drift_ppm: u64,
    /// The time from sending a successful call that acquires or renews the lease to sending the next renewal.
    pub renewal_interval: Duration,
    /// The minimum delay after a failed call. Jitter adds up to as much again.
    pub retry_delay: Duration,
}

impl LeaseTiming {
    /// Returns how long a holder may act, by its own clock, counted from when it sent the call that acquired
    /// or renewed the lease.
    pub fn permit_duration(&self) -> Duration {
        self.lease_duration.saturating_sub(self.drift_over(self.lease_duration))
    }

    /// Returns how long to wait, by this clock, until a lease about which nothing more is known has certainly
    /// expired.
    pub fn expiry_wait(&self) -> Duration {
        self.lease_duration.saturating_add(self.drift_over(self.lease_duration))
    }

    /// Returns the delay after a failed call. `jitter_millionths`, a random number from 0 to 999,999, spreads
    /// the retries of a fleet.
    pub(crate) fn retry_delay_with_jitter(&self, jitter_millionths: u64) -> Duration {
        let delay = whole_micros(self.retry_delay);
        let jitter = delay * jitter_millionths.min(PARTS_PER_MILLION - 1) / PARTS_PER_MILLION;
        Duration::from_micros(delay + jitter)
    }

    /// Returns by how much this clock and the store's may drift apart within a duration, in whole
    /// microseconds.
    fn drift_over(&self, span: Duration) -> Duration {
        let micros = whole_micros(span);
        let of_whole_seconds = (micros / PARTS_PER_MILLION).saturating_mul(self.clock_drift_ppm);
        let of_the_rest =
            (micros % PARTS_PER_MILLION) * self.clock_drift_ppm.min(PARTS_PER_MILLION) / PARTS_PER_MILLION;
        Duration::from_micros(of_whole_seconds.saturating_add(of_the_rest))
    }
}
