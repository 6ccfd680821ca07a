//! A machine of the core.
fn main() {}
