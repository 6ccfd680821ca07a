//! Time for the parts that decide: no clock is read here or there.
//!
//! A host reads its steady clock and hands in an [`Instant`]; a simulation hands in whatever it likes. Spans are
//! [`Duration`]s of the standard library. Both have millisecond resolution: what is smaller is cut off.

mod instant;

pub mod duration_millis;
pub use core::time::Duration;
pub use instant::Instant;

/// The whole milliseconds of a duration, at most `u64::MAX`.
pub const fn whole_millis(duration: Duration) -> u64 {
    duration.as_secs().saturating_mul(1_000).saturating_add(duration.subsec_millis() as u64)
}
