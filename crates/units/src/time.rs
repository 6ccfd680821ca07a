//! Instants and spans of the model: whole microseconds, so that sums do not depend on their order.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// An instant or a span, in microseconds. Spans never go below zero: subtraction stops there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The start of a day, or no time at all.
    pub const ZERO: Time = Time(0);
    /// Later than anything that happens.
    pub const NEVER: Time = Time(u64::MAX);

    /// So many milliseconds.
    pub const fn ms(ms: u64) -> Self {
        Time(ms * 1000)
    }

    /// So many seconds, to the nearest microsecond; what is negative or no number counts as none.
    pub fn seconds(seconds: f64) -> Self {
        // `as` saturates: an endless span becomes the longest.
        Time((seconds.max(0.0) * 1e6).round() as u64)
    }

    /// In seconds.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Whole steps of `step` are kept: the first that is not before this instant.
    pub fn up_to(self, step: Time) -> Self {
        Time(self.0.div_ceil(step.0.max(1)) * step.0.max(1))
    }

    /// This span, so many times.
    pub fn times(self, factor: f64) -> Self {
        Time::seconds(self.as_seconds() * factor)
    }
}

impl Add for Time {
    type Output = Time;
    fn add(self, other: Time) -> Time {
        Time(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Time {
    fn add_assign(&mut self, other: Time) {
        *self = *self + other;
    }
}

impl Sub for Time {
    type Output = Time;
    fn sub(self, other: Time) -> Time {
        Time(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} s", self.as_seconds())
    }
}
