//! Ranges of quantities.

use std::cmp::Ordering;

use crate::{Quantity, QuantityError};

/// A range of values with both ends included; `min` is not above `max`. A range may be a single value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange<T> {
    /// The lowest value.
    pub min: T,
    /// The highest value.
    pub max: T,
}

impl<T: Copy> ValueRange<T> {
    /// The range that has only this value.
    pub const fn single(value: T) -> Self {
        Self { min: value, max: value }
    }

    /// The range from the converted start to the converted end. `convert` has to keep the order.
    pub fn map<U>(self, convert: impl Fn(T) -> U) -> ValueRange<U> {
        ValueRange { min: convert(self.min), max: convert(self.max) }
    }
}

/// Ranges are ordered by their start alone, which is what the bounds of a quantity need.
impl<T: PartialOrd> PartialOrd for ValueRange<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        self.min.partial_cmp(&other.min)
    }
}

impl<T: Quantity> Quantity for ValueRange<T>
where
    ValueRange<T>: PartialOrd,
{
    fn parse(text: &str) -> Result<Self, QuantityError> {
        let Some((min, max)) = text.split_once("..") else {
            return T::parse(text.trim()).map(ValueRange::single);
        };
        let (min, max) = (T::parse(min.trim())?, T::parse(max.trim())?);
        if min > max {
            return Err(QuantityError::DescendingRange { text: text.to_owned() });
        }
        Ok(ValueRange { min, max })
    }
}
