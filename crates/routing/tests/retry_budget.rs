//! The retry budget never exceeds its rule, however the requests and retries fall on the proxies.

use mosshead_routing::{RetryBudget, RetryBudgetLimits};
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;

const WINDOW: Duration = Duration::from_secs(10);
const LIMITS: RetryBudgetLimits = RetryBudgetLimits { retry_ratio: 0.2, extra_retries: 52.0, window: WINDOW };

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// How many of these instants lie in the window that ends at `end`.
fn count_in_window(instants: &[Instant], end: Instant) -> f64 {
    instants.iter().filter(|instant| **instant <= end && **instant + WINDOW > end).count() as f64
}

quickcheck! {
    /// Any proxies, any steps of time: in every window the retries of all proxies stay within the rule, by the requests
    /// of that window, of the one before it or of the one half a window before it.
    fn all_proxies_together_stay_within_the_rule(steps: Vec<(u16, u8, bool)>) -> bool {
        let proxies = 4;
        let mut budgets: Vec<RetryBudget> = (0..proxies).map(|_| RetryBudget::new(LIMITS)).collect();
        let (mut now, mut requests, mut retries) = (at(1_000_000), Vec::new(), Vec::new());
        for (step, proxy, is_retry) in steps.iter().cycle().take(steps.len() * 20) {
            now += Duration::from_millis(u64::from(step % 300));
            let budget = &mut budgets[usize::from(*proxy) % proxies];
            if !is_retry {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_withdraw(now, proxies) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            let counts = [Duration::ZERO, WINDOW / 2, WINDOW].map(|back| count_in_window(&requests, *end - back));
            let most_requests = counts.into_iter().fold(0.0, f64::max);
            count_in_window(&retries, *end) <= LIMITS.retry_ratio * most_requests + LIMITS.extra_retries
        })
    }
}

#[test]
fn a_lone_burst_of_failures_spends_the_proxy_s_share_and_no_more() {
    let mut budget = RetryBudget::new(LIMITS);
    (0..10).for_each(|millis| budget.record_request(at(millis)));
    let spent = (0..1000).filter(|millis| budget.try_withdraw(at(10 + millis), 6)).count();
    assert_eq!(spent, 8);
}

#[test]
fn spent_retries_come_back_with_the_window() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_withdraw(at(0), 1) {}
    assert!(!budget.try_withdraw(at(9_000), 1));
    assert!(budget.try_withdraw(at(10_600), 1));
}
