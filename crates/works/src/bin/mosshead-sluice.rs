//! The proxy of the fleet.
fn main() {}
