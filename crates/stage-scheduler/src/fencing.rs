//! The fencing token, by which model servers reject assignments of a former primary.

/// How many of the proposer's 64 bits are part of the token; they are the highest ones.
const PROPOSER_BITS: u32 = 20;
/// Higher term numbers are clamped to this one, so that the token has no more than 52 bits.
const MAX_TERM_NUMBER: u64 = (1 << 32) - 1;

/// The fencing token of a primary. It increases with the term, and no two primaries have the same token.
///
/// Two members may have proposed terms with the same number. The upper bits of the proposer tell them apart, in the
/// order of the terms. The token is below 2^53, so that JSON numbers hold it exactly.
pub fn fencing_token(term_number: u64, proposer: u64) -> u64 {
    let proposer_bits = proposer >> (u64::BITS - PROPOSER_BITS);
    (term_number.min(MAX_TERM_NUMBER) << PROPOSER_BITS) | proposer_bits
}
