//! Quantities that are written with their unit, such as `250ms`, `35%`, `40/s` and `64KiB`, and ranges of them, `2s..5s`.
//! Scenarios and sites are written with them.

mod error;
mod quantity;
mod range;
mod time;

pub use error::QuantityError;
pub use quantity::{Bytes, Fraction, PerSecond, Quantity};
pub use range::ValueRange;
pub use time::Time;
