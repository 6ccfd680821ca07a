//! The load board: the last reported load of each server plus own sends since, and the lower of two random candidates.
//!
//! The rule: draw two distinct ready servers, send to the one whose last reported load plus own sends since is lower, and
//! break ties at random; with one ready server, send there. This is the power of two choices of M. Mitzenmacher (IEEE
//! Transactions on Parallel and Distributed Systems 12(10), 2001). No I/O, no clock.

mod draw;
mod server_load;

pub use draw::{Candidate, lower_load, lower_of_drawn, pick_lower_of_two, random_index, two_distinct};
pub use server_load::ServerLoad;
