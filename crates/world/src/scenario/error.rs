//! Why a scenario is rejected.

use std::fmt;

use thiserror::Error;

/// Why a scenario is rejected: the message names the line or the key.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// It is not TOML, or has an unknown or missing key or a malformed value.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A value is out of bounds.
    #[error("{0}")]
    Invalid(#[from] InvalidValue),
}

/// A value that no day can be made of.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {problem}")]
pub struct InvalidValue {
    /// The key, with its section.
    pub path: String,
    /// What is wrong with its value.
    pub problem: Problem,
}

/// What is wrong with a value. Bounds are given as they are written in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// Of `share` and `rate`, exactly one has to be given.
    LoadNotGivenOnce,
    /// A number is below this minimum.
    BelowMinimum(u64),
    /// A list is empty.
    Empty,
    /// The day is shorter than a second.
    DayTooShort,
    /// A time is shorter than this.
    TooShort(&'static str),
    /// A time lies outside of these bounds.
    TimeOutOfBounds(&'static str, &'static str),
    /// A value has to be above this.
    NotAbove(&'static str),
    /// Several values have to be above this.
    NotAllAbove(&'static str),
    /// A value has to be below this.
    NotBelow(&'static str),
    /// A value is at most this.
    AboveMaximum(&'static str),
    /// A share has to be above 0 and at most 1.
    ShareOutOfBounds,
    /// A number has to be finite and not negative.
    NotFiniteOrNegative,
    /// A name is used twice.
    DuplicateName(String),
    /// Among these, none has a share above 0.
    NoShare(&'static str),
    /// The bounds of congestion contradict each other.
    CongestionBounds,
    /// A latency target has to be above 0 and not above the deadline.
    TargetOutOfBounds,
    /// Keyed classes have a deduplication window, and no other classes.
    DeduplicationWindow,
    /// The zone is none of these.
    UnknownZone(Vec<String>),
    /// The first fault cannot follow another one.
    NoFaultBefore,
    /// A throttled link needs a rate.
    MissingRate,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::LoadNotGivenOnce => {
                f.write_str("give either `share` (of the servers' capacity) or `rate`, not both")
            }
            Self::BelowMinimum(1) => f.write_str("at least 1 is needed"),
            Self::BelowMinimum(minimum) => write!(f, "at least {minimum} are needed"),
            Self::Empty => f.write_str("at least one is needed"),
            Self::DayTooShort => f.write_str("a day lasts at least `1s`"),
            Self::TooShort(minimum) => write!(f, "write at least `{minimum}`"),
            Self::TimeOutOfBounds(from, to) => write!(f, "write a time from `{from}` to `{to}`"),
            Self::NotAbove(bound) => write!(f, "it has to be above {bound}"),
            Self::NotAllAbove(bound) => write!(f, "they have to be above {bound}"),
            Self::NotBelow(bound) => write!(f, "it has to be below `{bound}`"),
            Self::AboveMaximum(maximum) => write!(f, "it is at most `{maximum}`"),
            Self::ShareOutOfBounds => f.write_str("write a share above `0%`, up to `100%`"),
            Self::NotFiniteOrNegative => f.write_str("it has to be finite and not below 0"),
            Self::DuplicateName(name) => write!(f, "the name {name:?} is used twice"),
            Self::NoShare(what) => write!(f, "at least one {what} needs a share above `0%`"),
            Self::CongestionBounds => f.write_str("`slower` is at least 1, and `below` lies below `above`"),
            Self::TargetOutOfBounds => f.write_str("it lies above `0s` and not above `deadline`"),
            Self::DeduplicationWindow => {
                f.write_str("a keyed class needs one above `0s`, and no other class has one")
            }
            Self::UnknownZone(zones) => write!(f, "write one of {}", zones.join(", ")),
            Self::NoFaultBefore => f.write_str("there is no trouble before it"),
            Self::MissingRate => f.write_str("write how many pass in a second"),
        }
    }
}
