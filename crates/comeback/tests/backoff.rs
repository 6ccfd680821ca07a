//! A fleet that starts in one instant, against a directory that answers calls in turn, also those given up.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mosshead_comeback::{Pace, Silence};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The time allowed between calls.
const WITHIN: f64 = 10.0;
/// A call that has waited so long has failed.
const TIMEOUT: f64 = 2.0;

struct Seen {
    /// When each caller had its first answer.
    answered: Vec<f64>,
    /// When calls came.
    calls: Vec<f64>,
}

/// All call at zero and again as `wait` says, until all are answered or the time is over. What waits in the line costs the
/// directory its turn, whether its caller still waits or not.
fn start(callers: usize, a_second: f64, seed: u64, wait: impl Fn(&mut Pace, f64) -> f64) -> Seen {
    let mut state = seed;
    let mut chance = move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1_u64 << 31) as f64
    };
    let mut paces = vec![Pace::default(); callers];
    let micros = |at: f64| (at * 1e6) as u64;
    let mut due: BinaryHeap<Reverse<(u64, usize)>> =
        (0..callers).map(|caller| Reverse((0, caller))).collect();
    let mut seen = Seen { answered: vec![f64::INFINITY; callers], calls: Vec::new() };
    let mut free = 0.0_f64;
    while let Some(Reverse((at, caller))) = due.pop() {
        let at = at as f64 / 1e6;
        if at > 300.0 {
            break;
        }
        seen.calls.push(at);
        free = free.max(at) + 1.0 / a_second;
        if free - at <= TIMEOUT {
            seen.answered[caller] = free;
        } else {
            let again = at + TIMEOUT + wait(&mut paces[caller], chance());
            due.push(Reverse((micros(again), caller)));
        }
    }
    seen
}

fn paced(fleet: f64) -> impl Fn(&mut Pace, f64) -> f64 {
    move |pace, chance| pace.failed(WITHIN, fleet, chance)
}

fn last(seen: &Seen) -> f64 {
    seen.answered.iter().copied().fold(0.0, f64::max)
}

/// Danger: the waits before this pace, half a second doubled three times, let 60 of 100 callers of a directory that answers 20
/// calls a second go without a list for good.
#[test]
fn a_hundred_are_answered_by_a_directory_that_is_overbooked() {
    let seen = start(100, 20.0, 1, paced(100.0));
    assert!(last(&seen) < 15.0, "the last after {} s", last(&seen));
    let hasty = start(100, 20.0, 1, |_, chance| 0.5 + 0.5 * chance);
    assert!(last(&hasty) > 60.0, "a hasty fleet: the last after {} s", last(&hasty));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever the fleet's size, also where it is known wrongly by four, all are answered, and what comes in a tenth of a second
    /// after the first instant stays below what the size allows.
    #[test]
    fn every_caller_is_answered(callers in 1_usize..5000, wrong in prop::sample::select(vec![0.25, 1.0, 4.0]), seed: u64) {
        // A directory that could not answer all of them within the time allowed between calls would be of no use to them.
        let a_second = (callers as f64 / WITHIN).max(5.0);
        let fleet = callers as f64 * wrong;
        let seen = start(callers, a_second, seed, paced(fleet));
        prop_assert!(last(&seen).is_finite());
        let first = WITHIN * (0.02 * fleet).clamp(0.05, 0.4);
        // The mean of the fullest round, and what chance may add to it in any of hundreds of spans.
        let mean = callers as f64 * 0.1 / first;
        let most = 6.0_f64.mul_add(mean.sqrt(), mean) + 4.0;
        let later: Vec<f64> = seen.calls.iter().copied().filter(|at| *at > 0.0).collect();
        let mut from = 0;
        for to in 0..later.len() {
            while later[from] + 0.1 <= later[to] {
                from += 1;
            }
            prop_assert!(((to - from) as f64) < most, "{} within 0.1 s of {}, {most} allowed", to - from, later[from]);
        }
    }

    /// Nobody goes without asking for four times the time allowed, where the settings would take that for told.
    #[test]
    fn no_wait_is_too_long(fleet in 0.0..1e9_f64, failures in 0..40_u32, chance in 0.0..=1.0_f64) {
        let mut pace = Pace::default();
        (0..failures).for_each(|_| _ = pace.failed(WITHIN, fleet, chance));
        prop_assert!(pace.failed(WITHIN, fleet, chance) < 4.0 * WITHIN - TIMEOUT);
    }
}

/// Danger: a pause before a silent watch is opened anew sends to nodes that count as told to drain; none at all would call a
/// directory that is gone without end.
#[test]
fn a_silent_watch_is_opened_anew_at_once_and_once() {
    let mut silence = Silence::default();
    assert_eq!([silence.reopens(), silence.reopens(), silence.reopens()], [true, false, false]);
    silence.answered();
    assert_eq!([silence.reopens(), silence.reopens()], [true, false]);
}

/// A few callers may come at once; the more there are, the longer the span, and it has an end.
#[test]
fn the_first_calls_of_many_are_spread() {
    let span = |fleet| Pace::default().first(WITHIN, fleet);
    assert_eq!((span(1.0), span(20.0)), (0.0, 0.0));
    assert!(span(30.0) > 1.9 && span(40.0) > span(30.0));
    assert_eq!((span(1e9), span(100.0)), (4.0, 4.0));
}
