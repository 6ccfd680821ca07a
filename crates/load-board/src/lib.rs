//! Estimates the load of each server, and selects servers by the power of two choices with that estimate.
//!
//! The estimate is the last load that the server reported plus the requests that this balancer has sent to it since. A
//! selection draws two distinct ready servers and takes the one with the lower estimate; ties are broken at random. If
//! only one server is ready, it is selected (M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing,
//! IEEE Transactions on Parallel and Distributed Systems 12(10), 2001). The crate does no I/O and reads no clock.

mod draw;
mod server_load;

pub use draw::{Candidate, lower_load, lower_of_drawn, pick_lower_of_two, random_index, two_distinct};
pub use server_load::ServerLoad;
