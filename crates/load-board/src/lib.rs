//! The load board: an estimate of each server's load, and the power of two choices among servers by that estimate.
//!
//! The estimate is the last load that the server reported plus the requests that this balancer has sent to it since. The
//! rule: draw two distinct ready servers, send to the one with the lower estimate, and break ties at random; with one ready
//! server, send there (M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE Transactions on Parallel
//! and Distributed Systems 12(10), 2001). No I/O, no clock.

mod draw;
mod server_load;

pub use draw::{Candidate, lower_load, lower_of_drawn, pick_lower_of_two, random_index, two_distinct};
pub use server_load::ServerLoad;
