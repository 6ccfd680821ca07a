//! The power of two choices: draws two distinct candidates at random, and picks the one with the lower load.
//!
//! The number and the order of the random numbers that a function draws are part of its contract, because the results
//! of simulations with fixed seeds are compared with earlier ones.

use rand_core::RngCore;

/// Returns a random index below `count` with one draw; 0 if `count` is 0.
///
/// `count` is limited to 32 bits, so that its product with the draw fits into 64 bits.
pub fn random_index<R: RngCore + ?Sized>(rng: &mut R, count: usize) -> usize {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    ((u64::from(rng.next_u32()) * u64::from(count)) >> 32) as usize
}

/// Returns two distinct random indices below `count` with two draws; all ordered pairs are equally likely. Returns
/// `None`, without a draw, if `count` is less than two.
pub fn two_distinct<R: RngCore + ?Sized>(rng: &mut R, count: usize) -> Option<(usize, usize)> {
    if count < 2 {
        return None;
    }
    let first = random_index(rng, count);
    let second = (first + 1 + random_index(rng, count - 1)) % count;
    Some((first, second))
}

/// A drawn server and its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<T> {
    /// The caller's identifier of the server.
    pub id: T,
    /// The server's load, in the caller's unit. The candidate with the lower load is preferred.
    pub load: f64,
}

impl<T> Candidate<T> {
    /// Creates a candidate with this load.
    pub fn new(id: T, load: f64) -> Candidate<T> {
        Candidate { id, load }
    }
}

/// Returns the id of the candidate with the lower load. The first candidate wins a tie, which is a random choice only
/// if the order of the two is random, as [`two_distinct`] draws them. Use [`lower_load`] for two in a fixed order.
pub fn lower_of_drawn<T>(first: Candidate<T>, second: Candidate<T>) -> T {
    if first.load <= second.load { first.id } else { second.id }
}

/// Returns the id of the candidate with the lower load, whatever the order of the two. A tie is broken by one draw, and
/// there is no draw otherwise. NaN loses against any other load; two NaN loads are a tie.
pub fn lower_load<R: RngCore + ?Sized, T>(rng: &mut R, first: Candidate<T>, second: Candidate<T>) -> T {
    let is_tie = first.load == second.load || (first.load.is_nan() && second.load.is_nan());
    let is_first_lower =
        if is_tie { random_index(rng, 2) == 0 } else { first.load < second.load || second.load.is_nan() };
    if is_first_lower { first.id } else { second.id }
}

/// Picks one of the indices `0..count` by the power of two choices: draws two, and returns the one with the lower
/// `load`. A single index is returned without a draw. Returns `None` if `count` is 0.
pub fn pick_lower_of_two<R: RngCore + ?Sized>(
    rng: &mut R,
    count: usize,
    load: impl Fn(usize) -> f64,
) -> Option<usize> {
    match two_distinct(rng, count) {
        Some((first, second)) => {
            Some(lower_of_drawn(Candidate::new(first, load(first)), Candidate::new(second, load(second))))
        }
        None => (count == 1).then_some(0),
    }
}
