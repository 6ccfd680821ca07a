//! How a fleet comes back without a stampede, with no talk between its members: what each may do is spread by what it
//! knows of the fleet's size and by what it sees fail, and each knows how far it has come.
//!
//! Times are in seconds; every bound is a share of a time that the settings name. Draws are handed in.

mod backoff;
mod lifecycle;

pub use backoff::{Pace, Silence};
pub use lifecycle::{Life, Stage, Wants};
