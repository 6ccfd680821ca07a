//! The board: the last figure of each server and own sends since, and the lower of two random ones.
//!
//! The rule of DESIGN: draw two distinct ready servers, send to the one with the lower figure plus own sends,
//! break ties at random; with one ready server, send there. No I/O, no clock.

mod draw;
mod server_load;

pub use draw::{below, lower, lower_of_drawn, pick, two};
pub use server_load::Entry;
