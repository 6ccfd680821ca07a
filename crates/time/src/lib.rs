//! Instants and durations for the parts that decide. No clock is read here, nor in those parts.
//!
//! A host reads its steady clock and hands in an [`Instant`]; a simulation hands in whatever it likes. Spans are
//! [`Duration`]s of the standard library. Arithmetic with instants, and [`duration_millis`], have a resolution of one
//! millisecond: fractions are cut off.

mod instant;

pub mod duration_millis;
pub use core::time::Duration;
pub use instant::Instant;

/// The whole milliseconds of a duration, at most `u64::MAX`.
pub const fn whole_millis(duration: Duration) -> u64 {
    duration.as_secs().saturating_mul(1_000).saturating_add(duration.subsec_millis() as u64)
}
