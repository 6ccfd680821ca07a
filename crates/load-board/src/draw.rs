//! The power of two choices: draws two distinct candidates at random, and picks the one with the lower load.
//!
//! Simulated days with fixed seeds are compared, so how many random numbers a function draws, and in which order, is part
//! of its contract.

use rand_core::RngCore;

/// A random index below `count`, by one draw; 0 if `count` is 0.
///
/// `count` is bounded to 32 bits, so that its product with the draw is within 64 bits.
pub fn random_index<R: RngCore + ?Sized>(rng: &mut R, count: usize) -> usize {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    ((u64::from(rng.next_u32()) * u64::from(count)) >> 32) as usize
}

/// Two distinct random indices below `count`, all ordered pairs equally likely, by two draws. `None`, without a draw, if
/// there are not two.
pub fn two_distinct<R: RngCore + ?Sized>(rng: &mut R, count: usize) -> Option<(usize, usize)> {
    if count < 2 {
        return None;
    }
    let first = random_index(rng, count);
    let second = (first + 1 + random_index(rng, count - 1)) % count;
    Some((first, second))
}

/// A server that was drawn, and its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<T> {
    /// What the caller names the server by.
    pub id: T,
    /// Its load in the caller's unit; the lower one is preferred.
    pub load: f64,
}

impl<T> Candidate<T> {
    /// A candidate with this load.
    pub fn new(id: T, load: f64) -> Candidate<T> {
        Candidate { id, load }
    }
}

/// The candidate with the lower load of two. The first one wins a tie: that is a random choice only if the order of the two is
/// random, as [`two_distinct`] draws them. For two in a fixed order there is [`lower_load`].
pub fn lower_of_drawn<T>(first: Candidate<T>, second: Candidate<T>) -> T {
    if first.load <= second.load { first.id } else { second.id }
}

/// The candidate with the lower load of two in any order. A tie, and only a tie, costs one draw. A load that is NaN loses to
/// any other; two of them are a tie.
pub fn lower_load<R: RngCore + ?Sized, T>(rng: &mut R, first: Candidate<T>, second: Candidate<T>) -> T {
    let is_tie = first.load == second.load || (first.load.is_nan() && second.load.is_nan());
    let is_first_lower =
        if is_tie { random_index(rng, 2) == 0 } else { first.load < second.load || second.load.is_nan() };
    if is_first_lower { first.id } else { second.id }
}

/// Picks one of the candidates `0..count` by the power of two choices: the one with the lower `load` of two drawn. The only
/// candidate is picked without a draw; of none, `None`.
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
