//! The retry budget never goes past its rule, however the proxies' shares fall.

use std::time::Duration;

use mosshead_routing::{RetryBudget, RetryBudgetLimits};
use quickcheck::quickcheck;

const TERMS: RetryBudgetLimits =
    RetryBudgetLimits { retry_ratio: 0.2, extra_retries: 52.0, window: Duration::from_secs(10) };

const WINDOW_MILLIS: u64 = 10_000;

/// Requests and repeats in a window that ends at `end`.
fn window(times: &[u64], end: u64) -> f64 {
    times.iter().filter(|at| **at <= end && **at + WINDOW_MILLIS > end).count() as f64
}

quickcheck! {
    /// Any proxies, any steps of time: in every window the repeats of all stay within the rule, by the requests of that
    /// window or the one before it.
    fn all_proxies_together_stay_within_the_rule(steps: Vec<(u16, u8, bool)>) -> bool {
        let proxies = 4;
        let mut budgets: Vec<RetryBudget> = (0..proxies).map(|_| RetryBudget::new(TERMS)).collect();
        let (mut now, mut asked, mut repeated) = (1_000_000, Vec::new(), Vec::new());
        for (step, proxy, repeats) in steps.iter().cycle().take(steps.len() * 20) {
            now += u64::from(step % 300);
            let budget = &mut budgets[usize::from(*proxy) % proxies];
            if !repeats {
                budget.request(now);
                asked.push(now);
            } else if budget.repeat(now, proxies) {
                repeated.push(now);
            }
        }
        repeated.iter().all(|end| {
            let most = [0, WINDOW_MILLIS / 2, WINDOW_MILLIS].map(|back| window(&asked, end - back));
            let most = most.into_iter().fold(0.0, f64::max);
            window(&repeated, *end) <= TERMS.retry_ratio * most + TERMS.extra_retries
        })
    }
}

#[test]
fn a_lone_burst_of_failures_spends_the_share_and_no_more() {
    let mut budget = RetryBudget::new(TERMS);
    (0..10).for_each(|at| budget.request(at));
    let spent = (0..1000).filter(|at| budget.repeat(10 + at, 6)).count();
    assert_eq!(spent, 8);
}

#[test]
fn what_was_spent_comes_back_with_the_window() {
    let mut budget = RetryBudget::new(TERMS);
    while budget.repeat(0, 1) {}
    assert!(!budget.repeat(9_000, 1));
    assert!(budget.repeat(10_600, 1));
}
