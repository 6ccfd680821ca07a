//! Fuzz target that decodes arbitrary bytes as a snapshot.
#![no_main]

use libfuzzer_sys::fuzz_target;

#[path = "../../tests/shared/mod.rs"]
mod shared;

fuzz_target!(|bytes: &[u8]| shared::check_invariants(bytes));
