//! Hashes by which a patch that was applied to another text is found. They are sent between processes that may be
//! of different builds, so that they must not change by themselves as those of the standard library may.

const SEED: u64 = 0x9e37_79b9_7f4a_7c15;
const FIRST: u64 = 0xa076_1d64_78bd_642f;
const SECOND: u64 = 0xe703_7ed1_a0b4_28db;
/// Stands for the ends of a list.
const END: u64 = 0x8ebc_6af0_9c88_c6e3;

/// Mixes two numbers into one. The order counts.
pub(crate) fn mix(one: u64, two: u64) -> u64 {
    let product = u128::from(one ^ FIRST).wrapping_mul(u128::from(two ^ SECOND));
    let folded = (product as u64) ^ ((product >> 64) as u64);
    (folded ^ one.rotate_left(23)).wrapping_mul(SEED) ^ (folded >> 29)
}

/// Over a text, eight bytes at a time.
pub(crate) fn text(text: &str) -> u64 {
    let word = |bytes: &[u8]| bytes.iter().rev().fold(0_u64, |word, byte| (word << 8) | u64::from(*byte));
    let sum = text.as_bytes().chunks(8).fold(SEED, |sum, bytes| mix(sum, word(bytes)));
    mix(sum, text.len() as u64)
}

/// Of two neighbours in a list, `None` at its ends. The sum of all pairs tells the items and their order, as no
/// item is there twice, and is kept up to date by the pairs that a change makes and unmakes.
pub(crate) fn pair(one: Option<u64>, two: Option<u64>) -> u64 {
    mix(one.unwrap_or(END), two.unwrap_or(!END))
}
