//! How a fleet comes back without a stampede, with no talk between its members: what each may do is spread by what it
//! knows of the fleet's size and by what it sees fail.
//!
//! Times are in seconds; every bound is a share of a time that the settings name. Draws are handed in.

mod pace;

pub use pace::Pace;
