//! Instants of a steady clock.

use core::fmt;
use core::ops::{Add, AddAssign, Sub};
use core::time::Duration;

use minicbor::{Decode, Encode};

use crate::whole_millis;

/// An instant of a steady clock, in whole milliseconds since an origin that the host chooses.
///
/// Instants of different processes, or of two runs of one process, have different origins and must not be compared.
/// Arithmetic saturates: no instant lies before the origin, and a span between two instants is never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Instant(#[n(0)] u64);

impl Instant {
    /// The origin of the clock.
    pub const ORIGIN: Instant = Instant(0);
    /// Later than every instant that a clock shows: the deadline of what is never due.
    pub const FAR_FUTURE: Instant = Instant(u64::MAX);

    /// The instant so many milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(millis)
    }

    /// Milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The span since an earlier instant; zero if that one is later.
    pub const fn duration_since(self, earlier: Instant) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(whole_millis(span)))
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, span: Duration) -> Instant {
        Instant(self.0.saturating_sub(whole_millis(span)))
    }
}

impl Sub<Instant> for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.duration_since(earlier)
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
