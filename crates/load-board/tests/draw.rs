//! Drawing two candidates, and picking the one with the lower load.

use mosshead_load_board::{
    Candidate, lower_load, lower_of_drawn, pick_lower_of_two, random_index, two_distinct,
};
use quickcheck::quickcheck;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const DRAWS: u32 = 60_000;

/// True if each count is within a tenth of the even share, which is over ten standard deviations here.
fn is_even(counts: &[u32]) -> bool {
    let even_share = f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;
    counts.iter().all(|&count| (f64::from(count) - even_share).abs() < even_share / 10.0)
}

/// A generator that counts its draws.
struct CountingRng {
    rng: Pcg32,
    draws: u32,
}

impl RngCore for CountingRng {
    fn next_u32(&mut self) -> u32 {
        self.draws += 1;
        self.rng.next_u32()
    }

    fn next_u64(&mut self) -> u64 {
        unreachable!("one draw is 32 bits")
    }

    fn fill_bytes(&mut self, _: &mut [u8]) {
        unreachable!("one draw is 32 bits")
    }
}

fn counting_rng(seed: u64) -> CountingRng {
    CountingRng { rng: Pcg32::seed_from_u64(seed), draws: 0 }
}

/// If some pairs were more likely than others, requests would concentrate on them.
#[test]
fn all_ordered_pairs_are_equally_likely() {
    for count in 2..6 {
        let (mut rng, mut pairs) = (Pcg32::seed_from_u64(count as u64), vec![0; count * count]);
        for _ in 0..DRAWS {
            let (first, second) = two_distinct(&mut rng, count).expect("two");
            pairs[first * count + second] += 1;
        }
        let (same, distinct): (Vec<_>, Vec<_>) =
            (0..pairs.len()).partition(|pair| pair / count == pair % count);
        assert!(same.iter().all(|&pair| pairs[pair] == 0));
        assert!(is_even(&distinct.iter().map(|&pair| pairs[pair]).collect::<Vec<_>>()), "{pairs:?}");
    }
}

/// Results of simulations with fixed seeds are compared with earlier ones. They would change if the number of draws or
/// the use of a draw changed.
#[test]
fn the_number_and_order_of_draws_are_unchanged() {
    let (mut rng, mut reference_rng) = (Pcg32::seed_from_u64(7), Pcg32::seed_from_u64(7));
    let mut expected_index = |count: u64| (u64::from(reference_rng.next_u32()) * count) >> 32;
    for count in (2..200_u64).chain([u64::from(u32::MAX)]) {
        let first = expected_index(count);
        let second = (first + 1 + expected_index(count - 1)) % count;
        assert_eq!(two_distinct(&mut rng, count as usize), Some((first as usize, second as usize)));
    }
}

#[test]
fn the_only_ready_server_is_picked_without_a_draw() {
    let mut rng = counting_rng(1);
    assert_eq!((two_distinct(&mut rng, 0), two_distinct(&mut rng, 1)), (None, None));
    assert_eq!(pick_lower_of_two(&mut rng, 0, |_| 0.0), None);
    assert_eq!(pick_lower_of_two(&mut rng, 1, |_| f64::INFINITY), Some(0));
    assert_eq!(rng.draws, 0);
}

#[test]
fn ties_are_broken_evenly() {
    let (mut rng, mut by_order, mut by_draw) = (Pcg32::seed_from_u64(3), [0; 2], [0; 2]);
    for _ in 0..DRAWS {
        by_order[pick_lower_of_two(&mut rng, 2, |_| 4.0).expect("one of two")] += 1;
        by_draw[lower_load(&mut rng, Candidate::new(0, 4.0), Candidate::new(1, 4.0))] += 1;
    }
    assert!(is_even(&by_order) && is_even(&by_draw), "{by_order:?} {by_draw:?}");
}

#[test]
fn only_a_tie_costs_a_draw_and_nan_loses() {
    let mut rng = counting_rng(5);
    let candidates = |first: f64, second: f64| (Candidate::new(8, first), Candidate::new(9, second));
    let mut lower = |first: f64, second: f64| {
        let (first, second) = candidates(first, second);
        lower_load(&mut rng, first, second)
    };
    assert_eq!((lower(1.0, 2.0), lower(2.0, 1.0)), (8, 9));
    assert_eq!((lower(f64::NAN, 2.0), lower(2.0, f64::NAN)), (9, 8));
    assert_eq!(rng.draws, 0);
    for load in [2.0, f64::NAN] {
        let (first, second) = candidates(load, load);
        lower_load(&mut rng, first, second);
    }
    assert_eq!(rng.draws, 2);
    let lower_drawn = |first: f64, second: f64| {
        let (first, second) = candidates(first, second);
        lower_of_drawn(first, second)
    };
    assert_eq!((lower_drawn(1.0, 1.0), lower_drawn(2.0, 1.0)), (8, 9));
}

/// With distinct loads the highest load never wins. The lowest load wins in both orders of each pair that contains it,
/// which is 2 of n draws.
#[test]
fn the_lowest_load_wins_each_of_its_pairs() {
    let (mut rng, mut wins) = (Pcg32::seed_from_u64(11), [0; 6]);
    for _ in 0..DRAWS {
        wins[pick_lower_of_two(&mut rng, 6, |index| index as f64).expect("one of six")] += 1;
    }
    assert_eq!(wins[5], 0);
    assert!(is_even(&[wins[0], DRAWS / 3]), "{wins:?}");
}

quickcheck! {
    fn drawn_indices_are_within_bounds(seed: u64, count: usize) -> bool {
        let mut rng = Pcg32::seed_from_u64(seed);
        let within = random_index(&mut rng, count) < count.max(1);
        let pair = two_distinct(&mut rng, count);
        within && (count >= 2) == pair.is_some()
            && pair.is_none_or(|(first, second)| first != second && first.max(second) < count)
    }

    fn the_lower_load_wins_in_either_order(seed: u64, a: f64, b: f64) -> bool {
        let mut rng = Pcg32::seed_from_u64(seed);
        let wins = |first: bool| if first { a <= b || b.is_nan() } else { b <= a || a.is_nan() };
        let (a, b) = (Candidate::new(0, a), Candidate::new(1, b));
        wins(lower_load(&mut rng, a, b) == 0) && wins(lower_load(&mut rng, b, a) == 0)
    }

    fn one_of_the_candidates_is_picked_if_there_is_any(seed: u64, values: Vec<f64>) -> bool {
        let picked = pick_lower_of_two(&mut Pcg32::seed_from_u64(seed), values.len(), |index| values[index]);
        picked.map_or(values.is_empty(), |index| index < values.len())
    }
}
