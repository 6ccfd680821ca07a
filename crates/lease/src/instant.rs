//! Instants of the package, on a clock of the host that keeps running during suspension.

use core::ops::Add;
use core::time::Duration;

/// An instant in whole microseconds since an origin that the host chooses. The clock must keep running while
/// the process or its machine is suspended; otherwise a permit would outlive the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant {
    micros: u64,
}

impl Instant {
    /// Returns the instant this many microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant { micros }
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }
}

/// Saturates, and truncates to whole microseconds.
impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant { micros: self.micros.saturating_add(whole_micros(span)) }
    }
}

/// Returns the whole microseconds of a duration, saturating at `u64::MAX`.
pub(crate) fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
