//! Wall-clock times, which instances of a proxy compare with each other's times and with discovery's.

use core::ops::{Add, Sub};
use core::time::Duration;

/// A time of the wall clock, in whole milliseconds since the Unix epoch. Arithmetic saturates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime {
    millis: u64,
}

impl UnixTime {
    /// The time that is this many milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> UnixTime {
        UnixTime { millis }
    }

    /// The number of milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.millis
    }

    /// The duration since an earlier time; zero if that time is later.
    pub const fn duration_since(self, earlier: UnixTime) -> Duration {
        Duration::from_millis(self.millis.saturating_sub(earlier.millis))
    }
}

impl Add<Duration> for UnixTime {
    type Output = UnixTime;

    fn add(self, span: Duration) -> UnixTime {
        UnixTime { millis: self.millis.saturating_add(whole_millis(span)) }
    }
}

impl Sub<Duration> for UnixTime {
    type Output = UnixTime;

    fn sub(self, span: Duration) -> UnixTime {
        UnixTime { millis: self.millis.saturating_sub(whole_millis(span)) }
    }
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// When a server last started, as discovery states it: milliseconds since the Unix epoch, or 0 for long ago. A
/// different start means a different server, so the number is kept exactly as in the JSON, including fractions.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ServerStart {
    millis: f64,
}

impl ServerStart {
    /// The start of a server that started long ago.
    pub const LONG_AGO: ServerStart = ServerStart { millis: 0.0 };

    /// The start that is this many milliseconds after the Unix epoch.
    pub const fn from_unix_millis(millis: f64) -> ServerStart {
        ServerStart { millis }
    }

    /// The number of milliseconds since the Unix epoch.
    pub const fn as_unix_millis(self) -> f64 {
        self.millis
    }
}
