//! Figures of a scenario with their units written: `250ms`, `35%`, `40/s`, and ranges of them, `2s..5s`.

use std::fmt;
use std::marker::PhantomData;
use std::str::FromStr;

use serde::de::{self, Deserialize, Deserializer, Visitor};

use crate::time::Time;

/// From the lowest to the highest value, both included; one value alone is both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span<T> {
    /// The lowest.
    pub lo: T,
    /// The highest.
    pub hi: T,
}

impl<T: Copy> Span<T> {
    /// One value alone.
    pub const fn one(value: T) -> Self {
        Self { lo: value, hi: value }
    }

    /// Each end, changed in one way.
    pub fn map<U>(self, change: impl Fn(T) -> U) -> Span<U> {
        Span { lo: change(self.lo), hi: change(self.hi) }
    }
}

/// A quantity that a scenario writes with its unit.
pub trait Quantity: Copy + PartialOrd {
    /// Reads one value.
    ///
    /// # Errors
    ///
    /// The text is no value of this unit; the string says what is expected.
    fn read(text: &str) -> Result<Self, String>;
}

fn figure<T: FromStr>(text: &str, whole: &str, units: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("`{whole}` is not {units}"))
}

impl Quantity for Time {
    fn read(text: &str) -> Result<Self, String> {
        const UNITS: [(&str, f64); 4] = [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("min", 60.0)];
        let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
        let unit = &text[digits.len()..];
        let known = UNITS.iter().find(|(name, _)| *name == unit);
        let (_, size) = known.ok_or_else(|| {
            format!("`{text}` needs a unit of time: `us`, `ms`, `s` or `min`, as in `250ms`")
        })?;
        let number: f64 = figure(digits, text, "a time such as `250ms` or `2s`")?;
        if !(0.0..=1e6).contains(&(number * size)) {
            return Err(format!("`{text}` is not between 0 s and 1000000 s"));
        }
        Ok(Time::seconds(number * size))
    }
}

/// A share: written in percent, held as a fraction.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Part(pub f64);

impl Quantity for Part {
    fn read(text: &str) -> Result<Self, String> {
        let number = text.strip_suffix('%').ok_or_else(|| format!("`{text}` needs `%`, as in `35%`"))?;
        let number: f64 = figure(number, text, "a share such as `35%`")?;
        if !(0.0..=1000.0).contains(&number) {
            return Err(format!("`{text}` is not between 0% and 1000%"));
        }
        Ok(Part(number / 100.0))
    }
}

/// How often: so many a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PerSecond(pub f64);

impl Quantity for PerSecond {
    fn read(text: &str) -> Result<Self, String> {
        let number = text.strip_suffix("/s").ok_or_else(|| format!("`{text}` needs `/s`, as in `40/s`"))?;
        let number: f64 = figure(number, text, "a rate such as `40/s`")?;
        if !(0.0..=1e7).contains(&number) {
            return Err(format!("`{text}` is not between 0/s and 10000000/s"));
        }
        Ok(PerSecond(number))
    }
}

/// A size in memory or on disk, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub u64);

impl Quantity for Bytes {
    fn read(text: &str) -> Result<Self, String> {
        const UNITS: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
        let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
        let known = UNITS.iter().find(|(name, _)| *name == &text[digits.len()..]);
        let (_, size) = known.ok_or_else(|| {
            format!("`{text}` needs a unit of size: `B`, `KiB`, `MiB` or `GiB`, as in `64KiB`")
        })?;
        let number: u64 = figure(digits, text, "a size such as `64KiB`")?;
        let bytes = number.checked_mul(*size).filter(|bytes| *bytes <= 1 << 40);
        bytes.map(Bytes).ok_or_else(|| format!("`{text}` is above 1024 GiB"))
    }
}

impl Quantity for f64 {
    fn read(text: &str) -> Result<Self, String> {
        let number: f64 = figure(text, text, "a number without a unit")?;
        if !(0.0..=1e9).contains(&number) {
            return Err(format!("`{text}` is not between 0 and 1000000000"));
        }
        Ok(number)
    }
}

impl Quantity for u64 {
    fn read(text: &str) -> Result<Self, String> {
        let number: u64 = figure(text, text, "a whole number without a unit")?;
        if number > 10_000_000 {
            return Err(format!("`{text}` is above 10000000"));
        }
        Ok(number)
    }
}

impl<T: Quantity> Quantity for Span<T>
where
    Span<T>: PartialOrd,
{
    fn read(text: &str) -> Result<Self, String> {
        read_span(text)
    }
}

impl<T: PartialOrd> PartialOrd for Span<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        self.lo.partial_cmp(&other.lo)
    }
}

fn read_span<T: Quantity>(text: &str) -> Result<Span<T>, String> {
    let Some((lo, hi)) = text.split_once("..") else { return T::read(text.trim()).map(Span::one) };
    let (lo, hi) = (T::read(lo.trim())?, T::read(hi.trim())?);
    if lo > hi {
        return Err(format!("`{text}` starts above its end"));
    }
    Ok(Span { lo, hi })
}

struct Written<T>(PhantomData<T>);

impl<T: Quantity> Visitor<'_> for Written<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a figure with its unit, as text, such as \"250ms\" or \"2s..5s\"")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<T, E> {
        T::read(text).map_err(E::custom)
    }

    // A bare number is right where no unit is due; elsewhere the message names the units.
    fn visit_i64<E: de::Error>(self, number: i64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<T, E> {
        self.visit_str(&number.to_string())
    }
}

macro_rules! written {
    ($($name:ty),+) => {
        $(impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                from.deserialize_any(Written(PhantomData))
            }
        })+
    };
}

written!(Time, Part, PerSecond, Span<Time>, Span<Part>, Span<PerSecond>, Span<Bytes>, Span<f64>, Span<u64>);

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards scenarios against a figure that means another unit than its writer had in mind.
    #[test]
    fn units_are_written_and_ranges_run_upwards() {
        assert_eq!(Time::read("250ms"), Ok(Time(250_000)));
        assert_eq!(Span::<Time>::read("1s..2.5s"), Ok(Span { lo: Time(1_000_000), hi: Time(2_500_000) }));
        assert_eq!(Part::read("35%"), Ok(Part(0.35)));
        assert_eq!(PerSecond::read("40/s"), Ok(PerSecond(40.0)));
        for (fault, says) in [
            (Time::read("250").map(drop), "needs a unit of time"),
            (Time::read("-1s").map(drop), "is not between"),
            (Time::read("fasts").map(drop), "needs a unit"),
            (Part::read("0.35").map(drop), "needs `%`"),
            (PerSecond::read("40").map(drop), "needs `/s`"),
            (Span::<Time>::read("3s..2s").map(drop), "starts above its end"),
            (u64::read("1.5").map(drop), "whole number"),
        ] {
            assert!(fault.as_ref().is_err_and(|fault| fault.contains(says)), "{fault:?} {says}");
        }
    }
}
