//! Instants and spans of the model, in whole microseconds, so that a sum does not depend on the order of its terms.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// An instant since the start of a day, or a span, in microseconds. Sums stop at [`Time::NEVER`] and differences at
/// [`Time::ZERO`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The start of a day, or an empty span.
    pub const ZERO: Time = Time(0);
    /// Later than all that happens.
    pub const NEVER: Time = Time(u64::MAX);

    /// A number of milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1000)
    }

    /// A number of seconds, to the nearest microsecond. What is negative or not a number becomes zero.
    pub fn from_seconds(seconds: f64) -> Self {
        // `as` saturates: an infinite span becomes the longest.
        Time((seconds.max(0.0) * 1e6).round() as u64)
    }

    /// In seconds.
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The first multiple of `step` that is not before this instant.
    pub fn round_up_to(self, step: Time) -> Self {
        Time(self.0.div_ceil(step.0.max(1)) * step.0.max(1))
    }

    /// This span times a factor, to the nearest microsecond.
    pub fn scaled_by(self, factor: f64) -> Self {
        Time::from_seconds(self.as_seconds() * factor)
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
