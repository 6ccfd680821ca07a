//! Figures that are written with their unit, `250ms`, `35%`, `40/s`, `64KiB`, in scenarios and sites alike.

mod time;
mod units;

pub use time::Time;
pub use units::{Bytes, Part, PerSecond, Quantity, Span};
