//! The retry budget never exceeds its rule, however requests and retries are distributed over the proxies.

use mosshead_routing::{RetryBudget, RetryBudgetLimits};
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;

const WINDOW: Duration = Duration::from_secs(10);
const LIMITS: RetryBudgetLimits = RetryBudgetLimits { retry_ratio: 0.2, extra_retries: 52.0, window: WINDOW };

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// The number of these instants in the window that ends at `end`.
fn count_in_window(instants: &[Instant], end: Instant) -> f64 {
    instants.iter().filter(|instant| **instant <= end && **instant + WINDOW > end).count() as f64
}

quickcheck! {
    /// For any distribution over proxies and any time steps: in every window the retries of all proxies stay within the
    /// rule. The requests that count are those of that window, or of the one that ends half a window or a whole window
    /// earlier, whichever are most.
    fn all_proxies_together_stay_within_the_rule(steps: Vec<(u16, u8, bool, u8)>) -> bool {
        let proxies = 4;
        let mut budgets: Vec<RetryBudget> = (0..proxies).map(|_| RetryBudget::new(LIMITS)).collect();
        let (mut now, mut requests, mut retries) = (at(1_000_000), Vec::new(), Vec::new());
        for (step, proxy, is_retry, priority) in steps.iter().cycle().take(steps.len() * 20) {
            now += Duration::from_millis(u64::from(step % 300));
            let budget = &mut budgets[usize::from(*proxy) % proxies];
            if !is_retry {
                budget.record_request(now, priority % 3);
                requests.push(now);
            } else if budget.try_withdraw(now, proxies, priority % 3) {
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
fn a_burst_of_failures_at_one_proxy_spends_no_more_than_its_share() {
    let mut budget = RetryBudget::new(LIMITS);
    (0..10).for_each(|millis| budget.record_request(at(millis), 0));
    let spent = (0..1000).filter(|millis| budget.try_withdraw(at(10 + millis), 6, 0)).count();
    assert_eq!(spent, 8);
}

#[test]
fn spent_retries_are_available_again_after_a_window() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_withdraw(at(0), 1, 0) {}
    assert!(!budget.try_withdraw(at(9_000), 1, 0));
    assert!(budget.try_withdraw(at(10_600), 1, 0));
}

/// The number of retries that requests of this priority can withdraw one after another.
fn withdrawn_by(budget: &mut RetryBudget, now: Instant, priority: u8) -> usize {
    (0..1_000).filter(|_| budget.try_withdraw(now, 1, priority)).count()
}

/// However many less urgent requests fail, a part of the budget is left to the most urgent ones.
#[test]
fn less_urgent_requests_leave_a_reserve_to_the_most_urgent_ones() {
    let mut budget = RetryBudget::new(LIMITS);
    (0..90).for_each(|_| budget.record_request(at(0), 5));
    (0..10).for_each(|_| budget.record_request(at(0), 1));
    let less_urgent = withdrawn_by(&mut budget, at(10), 5);
    let most_urgent = withdrawn_by(&mut budget, at(10), 1);
    let all = (0.8_f64 * (0.2 * 100.0 + 52.0)) as usize;
    assert_eq!(less_urgent + most_urgent, all);
    assert_eq!(less_urgent, (0.75 * 0.8 * (0.2 * 100.0 + 52.0)) as usize);
}

/// Without more urgent requests nothing is reserved, so that no priority starves.
#[test]
fn requests_of_one_priority_spend_the_whole_budget() {
    let mut budget = RetryBudget::new(LIMITS);
    (0..100).for_each(|_| budget.record_request(at(0), 5));
    assert_eq!(withdrawn_by(&mut budget, at(10), 5), (0.8_f64 * 72.0) as usize);
    // The urgent requests have left the window.
    budget.record_request(at(20), 0);
    assert!(!budget.try_withdraw(at(30), 1, 5));
    assert!(budget.try_withdraw(at(11_000), 1, 5));
}
