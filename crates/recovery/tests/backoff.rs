//! A fleet whose instances all start at the same time, with a discovery server that handles calls in order, including
//! those whose callers have given up.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mosshead_recovery::{DiscoveryBackoff, WatchReopening};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The time allowed between calls, in seconds.
const CALL_INTERVAL_S: f64 = 10.0;
/// A call fails after it has waited this long, in seconds.
const CALL_TIMEOUT_S: f64 = 2.0;

/// The simulation ends at this time, in seconds. Callers without an answer count as never answered.
const MAX_TIME_S: f64 = 300.0;

struct Outcome {
    /// When each caller got its first answer, in seconds; infinite if it got none.
    answered_at: Vec<f64>,
    /// When calls were made, in seconds and in order.
    called_at: Vec<f64>,
}

/// Simulates callers that all call at time zero and again after the delay that `backoff_delay` returns, until all are
/// answered or [`MAX_TIME_S`] has passed. Each call in the queue takes time of the discovery server, even if its caller
/// no longer waits.
fn start_fleet(
    callers: usize,
    calls_per_second: f64,
    seed: u64,
    backoff_delay: impl Fn(&mut DiscoveryBackoff, f64) -> f64,
) -> Outcome {
    let mut state = seed;
    let mut random = move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1_u64 << 31) as f64
    };
    let mut backoffs = vec![DiscoveryBackoff::default(); callers];
    let micros = |at: f64| (at * 1e6) as u64;
    let mut due: BinaryHeap<Reverse<(u64, usize)>> =
        (0..callers).map(|caller| Reverse((0, caller))).collect();
    let mut outcome = Outcome { answered_at: vec![f64::INFINITY; callers], called_at: Vec::new() };
    let mut server_free_at = 0.0_f64;
    while let Some(Reverse((at, caller))) = due.pop() {
        let at = at as f64 / 1e6;
        if at > MAX_TIME_S {
            break;
        }
        outcome.called_at.push(at);
        server_free_at = server_free_at.max(at) + 1.0 / calls_per_second;
        if server_free_at - at <= CALL_TIMEOUT_S {
            outcome.answered_at[caller] = server_free_at;
        } else {
            let retry_at = at + CALL_TIMEOUT_S + backoff_delay(&mut backoffs[caller], random());
            due.push(Reverse((micros(retry_at), caller)));
        }
    }
    outcome
}

fn with_backoff(fleet: f64) -> impl Fn(&mut DiscoveryBackoff, f64) -> f64 {
    move |backoff, random| backoff.on_failure(CALL_INTERVAL_S, fleet, random)
}

fn last_answer_at(outcome: &Outcome) -> f64 {
    outcome.answered_at.iter().copied().fold(0.0, f64::max)
}

/// An earlier backoff started at half a second and was doubled up to three times. With a discovery server that answers
/// 20 calls per second, 60 of 100 callers never got a list.
#[test]
fn a_hundred_callers_are_answered_by_an_overloaded_discovery_server() {
    let outcome = start_fleet(100, 20.0, 1, with_backoff(100.0));
    assert!(last_answer_at(&outcome) < 15.0, "the last answer came after {} s", last_answer_at(&outcome));
    let without_backoff = start_fleet(100, 20.0, 1, |_, random| 0.5 + 0.5 * random);
    assert!(
        last_answer_at(&without_backoff) > 60.0,
        "without backoff: the last answer came after {} s",
        last_answer_at(&without_backoff)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// For any fleet size, even if callers know it only within a factor of four, all callers are answered. After the
    /// first instant, the number of calls in any tenth of a second stays below a bound that depends on the fleet size.
    #[test]
    fn every_caller_is_answered(callers in 1_usize..5000, size_error in prop::sample::select(vec![0.25, 1.0, 4.0]), seed: u64) {
        // A discovery server must be able to answer all callers within the time allowed between calls.
        let calls_per_second = (callers as f64 / CALL_INTERVAL_S).max(5.0);
        let fleet = callers as f64 * size_error;
        let outcome = start_fleet(callers, calls_per_second, seed, with_backoff(fleet));
        prop_assert!(last_answer_at(&outcome).is_finite());
        let first = CALL_INTERVAL_S * (0.02 * fleet).clamp(0.05, 0.4);
        // The mean number of calls in the busiest tenth of a second, plus a margin for the random maximum over hundreds
        // of them.
        let mean = callers as f64 * 0.1 / first;
        let max_calls = 6.0_f64.mul_add(mean.sqrt(), mean) + 4.0;
        let later: Vec<f64> = outcome.called_at.iter().copied().filter(|at| *at > 0.0).collect();
        let mut from = 0;
        for to in 0..later.len() {
            while later[from] + 0.1 <= later[to] {
                from += 1;
            }
            prop_assert!(((to - from) as f64) < max_calls, "{} within 0.1 s of {}, {max_calls} allowed", to - from, later[from]);
        }
    }

    /// No caller goes without a call for four times the time allowed between calls, because its list would then be
    /// outdated.
    #[test]
    fn no_delay_lets_the_list_become_outdated(fleet in 0.0..1e9_f64, failures in 0..40_u32, random in 0.0..=1.0_f64) {
        let mut backoff = DiscoveryBackoff::default();
        (0..failures).for_each(|_| _ = backoff.on_failure(CALL_INTERVAL_S, fleet, random));
        prop_assert!(backoff.on_failure(CALL_INTERVAL_S, fleet, random) < 4.0 * CALL_INTERVAL_S - CALL_TIMEOUT_S);
    }
}

/// If reopening the watch were delayed, requests would be sent to servers that the instance should already know to be
/// draining. If it were not limited, a discovery server that is gone would be called in an endless loop.
#[test]
fn a_watch_without_an_answer_is_reopened_immediately_but_only_once() {
    let mut watch = WatchReopening::default();
    assert_eq!([watch.should_reopen(), watch.should_reopen(), watch.should_reopen()], [true, false, false]);
    watch.on_answer();
    assert_eq!([watch.should_reopen(), watch.should_reopen()], [true, false]);
}

/// A few instances may call at the same time. For more instances the span grows with their number, up to a bound.
#[test]
fn the_first_calls_of_many_instances_are_spread() {
    let span = |fleet| DiscoveryBackoff::default().first_call_spread(CALL_INTERVAL_S, fleet);
    assert_eq!((span(1.0), span(20.0)), (0.0, 0.0));
    assert!(span(30.0) > 1.9 && span(40.0) > span(30.0));
    assert_eq!((span(1e9), span(100.0)), (4.0, 4.0));
}
