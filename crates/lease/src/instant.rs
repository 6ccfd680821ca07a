//! The package's own instants, on a clock of the host that also counts suspensions.

use core::ops::Add;
use core::time::Duration;

/// An instant, in whole microseconds since an origin that the host chooses, on a clock that goes on while the process or its
/// machine is suspended: on one that stands still meanwhile, a permit would outlive the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant {
    micros: u64,
}

impl Instant {
    /// The instant so many microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Instant {
        Instant { micros }
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }
}

/// Saturates; a fraction of a microsecond is cut off.
impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant { micros: self.micros.saturating_add(whole_micros(span)) }
    }
}

/// The whole microseconds of a duration, at most `u64::MAX`.
pub(crate) fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
