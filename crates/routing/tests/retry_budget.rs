//! The retry budget never exceeds its rule, however requests and retries are distributed over the proxies.

use mosshead_routing::{RetryBudget, RetryBudgetLimits, Router, RoutingWeights};
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;
use rand_pcg::Pcg64Mcg;

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
            } else if budget.try_withdraw(now, 1.0 / proxies as f64, priority % 3) {
                retries.push(now);
            }
        }
        retries.iter().all(|end| {
            count_in_window(&retries, *end) <= allowed_retries(&requests, *end)
        })
    }
}

const SERVICE: &str = "llm";

/// How long a proxy that is restarted is away.
const DOWNTIME_MILLIS: u64 = 3_000;
const STEP_MILLIS: u64 = 20;

/// The routers of a fleet; `None` for a proxy that is away.
struct Fleet {
    routers: Vec<Option<Router<Pcg64Mcg>>>,
}

impl Fleet {
    fn start(proxies: usize, now: Instant) -> Fleet {
        let mut fleet = Fleet { routers: (0..proxies).map(|_| Some(new_router())).collect() };
        fleet.announce_proxy_count(now);
        fleet
    }

    fn announce_proxy_count(&mut self, now: Instant) {
        let proxies = self.routers.iter().flatten().count();
        self.routers.iter_mut().flatten().for_each(|router| router.set_proxy_count(now, proxies));
    }

    fn stop(&mut self, now: Instant, proxy: usize) {
        self.routers[proxy] = None;
        self.announce_proxy_count(now);
    }

    fn restart(&mut self, now: Instant, proxy: usize) {
        let mut router = new_router();
        router.withhold_extra_retries(now);
        self.routers[proxy] = Some(router);
        self.announce_proxy_count(now);
    }

    /// Takes all retries that the budgets allow, and returns their number.
    fn withdraw_all(&mut self, now: Instant) -> usize {
        let routers = self.routers.iter_mut().flatten();
        routers
            .map(|router| {
                std::iter::repeat(()).take_while(|()| router.try_withdraw_retry(now, SERVICE, 1)).count()
            })
            .sum()
    }
}

fn new_router() -> Router<Pcg64Mcg> {
    Router::new(RoutingWeights::new(LIMITS), "zone", Pcg64Mcg::new(1))
}

/// The most retries that the rule allows in the window that ends at `end`.
fn allowed_retries(requests: &[Instant], end: Instant) -> f64 {
    let counts = [Duration::ZERO, WINDOW / 2, WINDOW].map(|back| count_in_window(requests, end - back));
    LIMITS.retry_ratio * counts.into_iter().fold(0.0, f64::max) + LIMITS.extra_retries
}

/// Guards against a fleet that exceeds the budget because each restarted proxy begins with a new share of the extra
/// retries, or because those that stay divide the share of one that leaves at once.
#[test]
fn proxies_that_are_restarted_in_turn_stay_within_the_rule() {
    for restart_interval_millis in [700, 1_000, 2_000, 5_000] {
        let (proxies, start) = (6, at(1_000_000));
        let mut fleet = Fleet::start(proxies, start);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for millis in (STEP_MILLIS..40_000).step_by(STEP_MILLIS as usize) {
            let now = start + Duration::from_millis(millis);
            let proxy_at = |millis: u64| (millis / restart_interval_millis) as usize % proxies;
            if millis % restart_interval_millis == 0 {
                fleet.stop(now, proxy_at(millis));
            }
            if millis > DOWNTIME_MILLIS && (millis - DOWNTIME_MILLIS).is_multiple_of(restart_interval_millis)
            {
                fleet.restart(now, proxy_at(millis - DOWNTIME_MILLIS));
            }
            requests.push(now);
            if let Some(router) = &mut fleet.routers[(millis / STEP_MILLIS) as usize % proxies] {
                router.record_request(now, SERVICE, 1);
            }
            retries.extend(std::iter::repeat_n(now, fleet.withdraw_all(now)));
            let spent = count_in_window(&retries, now);
            assert!(spent <= allowed_retries(&requests, now), "{spent} retries at {millis} ms");
        }
        assert!(!retries.is_empty());
    }
}

#[test]
fn a_burst_of_failures_at_one_proxy_spends_no_more_than_its_share() {
    let mut budget = RetryBudget::new(LIMITS);
    (0..10).for_each(|millis| budget.record_request(at(millis), 0));
    let spent = (0..1000).filter(|millis| budget.try_withdraw(at(10 + millis), 1.0 / 6.0, 0)).count();
    assert_eq!(spent, 8);
}

#[test]
fn spent_retries_are_available_again_after_a_window() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_withdraw(at(0), 1.0, 0) {}
    assert!(!budget.try_withdraw(at(9_000), 1.0, 0));
    assert!(budget.try_withdraw(at(10_600), 1.0, 0));
}

/// The number of retries that requests of this priority can withdraw one after another.
fn withdrawn_by(budget: &mut RetryBudget, now: Instant, priority: u8) -> usize {
    (0..1_000).filter(|_| budget.try_withdraw(now, 1.0, priority)).count()
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
    assert!(!budget.try_withdraw(at(30), 1.0, 5));
    assert!(budget.try_withdraw(at(11_000), 1.0, 5));
}
