//! Requests of a route are split by the weights of its services (RULES.md, Duty and CONFIG: 300 requests, 200
//! requests).

use mosshead_routing::LowDiscrepancySequences;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Upper bounds of the first two services' intervals; the last service gets the rest.
const BOUNDS: [f64; 2] = [0.5, 0.9];

fn fraction(random: &mut Pcg64Mcg) -> f64 {
    f64::from(random.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

/// The share of each service if each of `proxies` proxies makes `draws` draws.
fn shares(proxies: usize, draws: usize, random: &mut Pcg64Mcg) -> [f64; 3] {
    let mut counts = [0.0; 3];
    for _ in 0..proxies {
        let mut route_sequences = LowDiscrepancySequences::default();
        for _ in 0..draws {
            let drawn = route_sequences.next("route", || fraction(random));
            counts[BOUNDS.iter().filter(|bound| drawn >= **bound).count()] += 1.0;
        }
    }
    counts.map(|count| count / (proxies * draws) as f64)
}

fn largest_error(shares: [f64; 3]) -> f64 {
    [0.5, 0.4, 0.1].iter().zip(shares).map(|(weight, share)| (weight - share).abs()).fold(0.0, f64::max)
}

#[test]
fn one_proxy_splits_300_requests_by_the_weights() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let worst = (0..200).map(|_| largest_error(shares(1, 300, &mut random))).fold(0.0, f64::max);
    assert!(worst < 0.01, "{worst}");
}

#[test]
fn many_proxies_with_few_requests_each_split_them_by_the_weights() {
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let worst = (0..200).map(|_| largest_error(shares(66, 5, &mut random))).fold(0.0, f64::max);
    assert!(worst < 0.05, "{worst}");
}

#[test]
fn each_route_has_a_sequence_of_its_own() {
    let mut route_sequences = LowDiscrepancySequences::default();
    let first = route_sequences.next("a", || 0.25);
    let other = route_sequences.next("b", || 0.75);
    let second = route_sequences.next("a", || panic!("the sequence has already started"));
    assert_eq!((first, other), (0.25, 0.75));
    assert!((second - (0.25 + 0.618_033_988_749_894_9)).abs() < 1e-12);
}
