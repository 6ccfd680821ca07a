//! Hashes that detect if a patch was applied to another text than the one it was made for. They protect against
//! mistakes, not against forged texts.
//!
//! Processes of different versions exchange these hashes, so the algorithm must not change. The hashes of the standard
//! library have no such guarantee.

const SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const FIRST_MASK: u64 = 0xa076_1d64_78bd_642f;
const SECOND_MASK: u64 = 0xe703_7ed1_a0b4_28db;
/// Stands for the missing neighbour at the ends of a list.
const LIST_END: u64 = 0x8ebc_6af0_9c88_c6e3;

/// Mixes two numbers into one. The result depends on their order.
pub(crate) fn mix(first: u64, second: u64) -> u64 {
    let product = u128::from(first ^ FIRST_MASK).wrapping_mul(u128::from(second ^ SECOND_MASK));
    let folded = (product as u64) ^ ((product >> 64) as u64);
    (folded ^ first.rotate_left(23)).wrapping_mul(SEED) ^ (folded >> 29)
}

/// Hashes a text, eight bytes at a time.
pub(crate) fn hash_text(text: &str) -> u64 {
    let little_endian =
        |bytes: &[u8]| bytes.iter().rev().fold(0_u64, |number, byte| (number << 8) | u64::from(*byte));
    let hash = text.as_bytes().chunks(8).fold(SEED, |hash, bytes| mix(hash, little_endian(bytes)));
    mix(hash, text.len() as u64)
}

/// Hashes two neighbours in a list, given by their hashes; `None` stands for an end of the list.
///
/// As no item occurs twice in a list, the sum over all pairs of neighbours identifies the items and their order. A
/// change updates the sum by only the pairs that it adds and removes.
pub(crate) fn hash_pair(before: Option<u64>, after: Option<u64>) -> u64 {
    mix(before.unwrap_or(LIST_END), after.unwrap_or(!LIST_END))
}
