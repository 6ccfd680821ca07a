//! The draw of two and the lower of them.

use mosshead_load_board::{below, lower, lower_of_drawn, pick, two};
use quickcheck::quickcheck;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const DRAWS: u32 = 60_000;

/// Whether each of `counts` is its even part of all, within a tenth: over ten standard deviations here.
fn even(counts: &[u32]) -> bool {
    let part = f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;
    counts.iter().all(|&count| (f64::from(count) - part).abs() < part / 10.0)
}

/// Draws that are counted.
struct Counted(Pcg32, u32);

impl RngCore for Counted {
    fn next_u32(&mut self) -> u32 {
        self.1 += 1;
        self.0.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        unreachable!("one draw is 32 bits")
    }

    fn fill_bytes(&mut self, _: &mut [u8]) {
        unreachable!("one draw is 32 bits")
    }
}

fn counted(seed: u64) -> Counted {
    Counted(Pcg32::seed_from_u64(seed), 0)
}

/// Guards the paper's rule: a pair that is likelier than others would herd.
#[test]
fn all_ordered_pairs_are_equally_likely() {
    for count in 2..6 {
        let (mut rng, mut pairs) = (Pcg32::seed_from_u64(count as u64), vec![0; count * count]);
        for _ in 0..DRAWS {
            let (first, second) = two(&mut rng, count).expect("two");
            pairs[first * count + second] += 1;
        }
        let (same, distinct): (Vec<_>, Vec<_>) =
            (0..pairs.len()).partition(|pair| pair / count == pair % count);
        assert!(same.iter().all(|&pair| pairs[pair] == 0));
        assert!(even(&distinct.iter().map(|&pair| pairs[pair]).collect::<Vec<_>>()), "{pairs:?}");
    }
}

/// Danger: days with fixed seeds are compared; another number of draws, or another use of one, is another day.
#[test]
fn the_draws_are_those_that_they_were() {
    let (mut rng, mut same) = (Pcg32::seed_from_u64(7), Pcg32::seed_from_u64(7));
    let mut below = |count: u64| (u64::from(same.next_u32()) * count) >> 32;
    for count in (2..200_u64).chain([u64::from(u32::MAX)]) {
        let first = below(count);
        let second = (first + 1 + below(count - 1)) % count;
        assert_eq!(two(&mut rng, count as usize), Some((first as usize, second as usize)));
    }
}

#[test]
fn the_only_ready_server_is_taken_without_a_draw() {
    let mut rng = counted(1);
    assert_eq!((two(&mut rng, 0), two(&mut rng, 1)), (None, None));
    assert_eq!(pick(&mut rng, 0, |_| 0.0), None);
    assert_eq!(pick(&mut rng, 1, |_| f64::INFINITY), Some(0));
    assert_eq!(rng.1, 0);
}

#[test]
fn ties_are_even_however_the_pair_is_drawn() {
    let (mut rng, mut by_order, mut by_draw) = (Pcg32::seed_from_u64(3), [0; 2], [0; 2]);
    for _ in 0..DRAWS {
        by_order[pick(&mut rng, 2, |_| 4.0).expect("one of two")] += 1;
        by_draw[lower(&mut rng, (0, 4.0), (1, 4.0))] += 1;
    }
    assert!(even(&by_order) && even(&by_draw), "{by_order:?} {by_draw:?}");
}

#[test]
fn only_a_tie_costs_a_draw_and_no_number_loses() {
    let mut rng = counted(5);
    assert_eq!((lower(&mut rng, (8, 1.0), (9, 2.0)), lower(&mut rng, (8, 2.0), (9, 1.0))), (8, 9));
    assert_eq!((lower(&mut rng, (8, f64::NAN), (9, 2.0)), lower(&mut rng, (8, 2.0), (9, f64::NAN))), (9, 8));
    assert_eq!(rng.1, 0);
    lower(&mut rng, (8, 2.0), (9, 2.0));
    lower(&mut rng, (8, f64::NAN), (9, f64::NAN));
    assert_eq!(rng.1, 2);
    assert_eq!((lower_of_drawn(("a", 1.0), ("b", 1.0)), lower_of_drawn(("a", 2.0), ("b", 1.0))), ("a", "b"));
}

/// With distinct values the highest of all is never the lower of two, and the lowest wins both orders of each of its
/// pairs: 2 of n times.
#[test]
fn the_lowest_wins_each_of_its_pairs() {
    let (mut rng, mut won) = (Pcg32::seed_from_u64(11), [0; 6]);
    for _ in 0..DRAWS {
        won[pick(&mut rng, 6, |index| index as f64).expect("one of six")] += 1;
    }
    assert_eq!(won[5], 0);
    assert!(even(&[won[0], DRAWS / 3]), "{won:?}");
}

quickcheck! {
    fn a_draw_is_within_its_bounds(seed: u64, count: usize) -> bool {
        let mut rng = Pcg32::seed_from_u64(seed);
        let within = below(&mut rng, count) < count.max(1);
        let pair = two(&mut rng, count);
        within && (count >= 2) == pair.is_some()
            && pair.is_none_or(|(first, second)| first != second && first.max(second) < count)
    }

    fn the_lower_one_is_taken_in_either_order(seed: u64, a: f64, b: f64) -> bool {
        let mut rng = Pcg32::seed_from_u64(seed);
        let wins = |first: bool| if first { a <= b || b.is_nan() } else { b <= a || a.is_nan() };
        wins(lower(&mut rng, (0, a), (1, b)) == 0) && wins(lower(&mut rng, (1, b), (0, a)) == 0)
    }

    fn the_only_one_or_one_of_them_is_picked(seed: u64, values: Vec<f64>) -> bool {
        let picked = pick(&mut Pcg32::seed_from_u64(seed), values.len(), |index| values[index]);
        picked.map_or(values.is_empty(), |index| index < values.len())
    }
}
