//! Two distinct candidates at random, and the lower of them.

use rand_core::RngCore;

/// A random number below `count`, by one draw; 0 where `count` is 0.
pub fn below<R: RngCore + ?Sized>(rng: &mut R, count: usize) -> usize {
    // Danger: a product that does not fit would be another number, or a panic.
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    ((u64::from(rng.next_u32()) * u64::from(count)) >> 32) as usize
}

/// Two distinct random indices below `count`, all ordered pairs equally likely, by two draws. Where there are
/// not two: none, and no draw.
pub fn two<R: RngCore + ?Sized>(rng: &mut R, count: usize) -> Option<(usize, usize)> {
    if count < 2 {
        return None;
    }
    let first = below(rng, count);
    let second = (first + 1 + below(rng, count - 1)) % count;
    Some((first, second))
}

/// The lower of two in random order, as `two` gives them: the first one wins a tie, so a tie is random too.
pub fn lower_of_drawn<T>(first: (T, f64), second: (T, f64)) -> T {
    if first.1 <= second.1 { first.0 } else { second.0 }
}

/// The lower of two in whatever order; a tie, and only a tie, costs one draw. What is no number loses.
pub fn lower<R: RngCore + ?Sized>(rng: &mut R, a: (usize, f64), b: (usize, f64)) -> usize {
    let tie = a.1 == b.1 || (a.1.is_nan() && b.1.is_nan());
    let first = if tie { below(rng, 2) == 0 } else { a.1 < b.1 || b.1.is_nan() };
    if first { a.0 } else { b.0 }
}

/// The whole rule over candidates 0 to `count`: none, the only one, or the lower of two drawn.
pub fn pick<R: RngCore + ?Sized>(rng: &mut R, count: usize, value: impl Fn(usize) -> f64) -> Option<usize> {
    match two(rng, count) {
        Some((first, second)) => Some(lower_of_drawn((first, value(first)), (second, value(second)))),
        None => (count == 1).then_some(0),
    }
}
