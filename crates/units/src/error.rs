//! Why a text is not a quantity.

use std::fmt;

/// Why a text is not a quantity. The message quotes the text and says what to write instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuantityError {
    /// It has no unit, or one of another quantity.
    MissingUnit {
        /// The text.
        text: String,
        /// What it needs, with an example.
        needed: &'static str,
    },
    /// What stands before the unit is not a number of the form that the quantity has.
    NotANumber {
        /// The text.
        text: String,
        /// What it should be, with an example.
        expected: &'static str,
    },
    /// The number is out of bounds.
    OutOfBounds {
        /// The text.
        text: String,
        /// Which bounds it lies outside of.
        bounds: &'static str,
    },
    /// The start of a range lies above its end.
    DescendingRange {
        /// The text.
        text: String,
    },
}

impl fmt::Display for QuantityError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::MissingUnit { text, needed } => write!(f, "`{text}` needs {needed}"),
            Self::NotANumber { text, expected } => write!(f, "`{text}` is not {expected}"),
            Self::OutOfBounds { text, bounds } => write!(f, "`{text}` is {bounds}"),
            Self::DescendingRange { text } => write!(f, "`{text}` starts above its end"),
        }
    }
}

impl std::error::Error for QuantityError {}
