//! Quantities and how they are written.

use std::fmt;
use std::marker::PhantomData;
use std::str::FromStr;

use serde::de::{self, Deserialize, Deserializer, Visitor};

use crate::{QuantityError, Time, ValueRange};

/// A quantity that is written with its unit.
pub trait Quantity: Copy + PartialOrd {
    /// Reads one value with its unit.
    ///
    /// # Errors
    ///
    /// The unit is missing, the number is malformed, or it is out of bounds.
    fn parse(text: &str) -> Result<Self, QuantityError>;
}

/// The number in `digits`, which is a part of `text`.
fn parse_number<T: FromStr>(digits: &str, text: &str, expected: &'static str) -> Result<T, QuantityError> {
    digits.parse().map_err(|_| QuantityError::NotANumber { text: text.to_owned(), expected })
}

fn missing_unit(text: &str, needed: &'static str) -> QuantityError {
    QuantityError::MissingUnit { text: text.to_owned(), needed }
}

fn out_of_bounds(text: &str, bounds: &'static str) -> QuantityError {
    QuantityError::OutOfBounds { text: text.to_owned(), bounds }
}

/// The text without its trailing letters, and what the unit that they name counts for.
fn split_unit<'a, T: Copy>(text: &'a str, units: &[(&str, T)]) -> Option<(&'a str, T)> {
    let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let unit = &text[digits.len()..];
    units.iter().find(|(name, _)| *name == unit).map(|(_, size)| (digits, *size))
}

impl Quantity for Time {
    fn parse(text: &str) -> Result<Self, QuantityError> {
        const UNITS_IN_SECONDS: [(&str, f64); 4] = [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("min", 60.0)];
        const NEEDED: &str = "a unit of time: `us`, `ms`, `s` or `min`, as in `250ms`";
        let (digits, size) = split_unit(text, &UNITS_IN_SECONDS).ok_or_else(|| missing_unit(text, NEEDED))?;
        let number: f64 = parse_number(digits, text, "a time such as `250ms` or `2s`")?;
        if !(0.0..=1e6).contains(&(number * size)) {
            return Err(out_of_bounds(text, "not between 0 s and 1000000 s"));
        }
        Ok(Time::from_seconds(number * size))
    }
}

/// A share of something: written in percent, stored as a fraction, so `35%` is 0.35. It may be above 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Fraction(pub f64);

impl Quantity for Fraction {
    fn parse(text: &str) -> Result<Self, QuantityError> {
        let digits = text.strip_suffix('%').ok_or_else(|| missing_unit(text, "`%`, as in `35%`"))?;
        let percent: f64 = parse_number(digits, text, "a share such as `35%`")?;
        if !(0.0..=1000.0).contains(&percent) {
            return Err(out_of_bounds(text, "not between 0% and 1000%"));
        }
        Ok(Fraction(percent / 100.0))
    }
}

/// A rate, in events a second: written as `40/s`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PerSecond(pub f64);

impl Quantity for PerSecond {
    fn parse(text: &str) -> Result<Self, QuantityError> {
        let digits = text.strip_suffix("/s").ok_or_else(|| missing_unit(text, "`/s`, as in `40/s`"))?;
        let rate: f64 = parse_number(digits, text, "a rate such as `40/s`")?;
        if !(0.0..=1e7).contains(&rate) {
            return Err(out_of_bounds(text, "not between 0/s and 10000000/s"));
        }
        Ok(PerSecond(rate))
    }
}

/// A size in memory or on disk, in bytes: written with a binary unit, as in `64KiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl Quantity for Bytes {
    fn parse(text: &str) -> Result<Self, QuantityError> {
        const UNITS_IN_BYTES: [(&str, u64); 4] =
            [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
        const NEEDED: &str = "a unit of size: `B`, `KiB`, `MiB` or `GiB`, as in `64KiB`";
        const MAX_BYTES: u64 = 1 << 40;
        let (digits, size) = split_unit(text, &UNITS_IN_BYTES).ok_or_else(|| missing_unit(text, NEEDED))?;
        let number: u64 = parse_number(digits, text, "a size such as `64KiB`")?;
        let bytes = number.checked_mul(size).filter(|bytes| *bytes <= MAX_BYTES);
        bytes.map(Bytes).ok_or_else(|| out_of_bounds(text, "above 1024 GiB"))
    }
}

impl Quantity for f64 {
    fn parse(text: &str) -> Result<Self, QuantityError> {
        let number: f64 = parse_number(text, text, "a number without a unit")?;
        if !(0.0..=1e9).contains(&number) {
            return Err(out_of_bounds(text, "not between 0 and 1000000000"));
        }
        Ok(number)
    }
}

impl Quantity for u64 {
    fn parse(text: &str) -> Result<Self, QuantityError> {
        let number: u64 = parse_number(text, text, "a whole number without a unit")?;
        if number > 10_000_000 {
            return Err(out_of_bounds(text, "above 10000000"));
        }
        Ok(number)
    }
}

/// Reads a quantity from a text or a bare number of any format that serde knows.
struct QuantityVisitor<T>(PhantomData<T>);

impl<T: Quantity> Visitor<'_> for QuantityVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a figure with its unit, as text, such as \"250ms\" or \"2s..5s\"")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        T::parse(text).map_err(E::custom)
    }

    // A bare number is right where a quantity has no unit; elsewhere the error names the units.
    fn visit_i64<E: de::Error>(self, number: i64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
}

macro_rules! deserialize_quantities {
    ($($name:ty),+) => {
        $(impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                from.deserialize_any(QuantityVisitor(PhantomData))
            }
        })+
    };
}

deserialize_quantities!(
    Time,
    Fraction,
    PerSecond,
    ValueRange<Time>,
    ValueRange<Fraction>,
    ValueRange<PerSecond>,
    ValueRange<Bytes>,
    ValueRange<f64>,
    ValueRange<u64>
);
