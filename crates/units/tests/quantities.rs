//! Quantities as they are written in scenarios and sites.

use mosshead_units::{Fraction, PerSecond, Quantity, Time, ValueRange};

/// Guards scenarios against a figure that means another unit than its writer had in mind.
#[test]
fn units_are_written_and_ranges_run_upwards() {
    assert_eq!(Time::parse("250ms"), Ok(Time(250_000)));
    assert_eq!(
        ValueRange::<Time>::parse("1s..2.5s"),
        Ok(ValueRange { min: Time(1_000_000), max: Time(2_500_000) })
    );
    assert_eq!(Fraction::parse("35%"), Ok(Fraction(0.35)));
    assert_eq!(PerSecond::parse("40/s"), Ok(PerSecond(40.0)));
    for (result, message) in [
        (Time::parse("250").map(drop), "needs a unit of time"),
        (Time::parse("-1s").map(drop), "is not between"),
        (Time::parse("fasts").map(drop), "needs a unit"),
        (Fraction::parse("0.35").map(drop), "needs `%`"),
        (PerSecond::parse("40").map(drop), "needs `/s`"),
        (ValueRange::<Time>::parse("3s..2s").map(drop), "starts above its end"),
        (u64::parse("1.5").map(drop), "whole number"),
    ] {
        assert!(
            result.as_ref().is_err_and(|error| error.to_string().contains(message)),
            "{result:?} {message}"
        );
    }
}
