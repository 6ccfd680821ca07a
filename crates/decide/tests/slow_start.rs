//! Servers in slow start get no more requests than they can handle.

mod common;
use common::*;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;

/// Regression: if a server in slow start got its fair share of the requests, it would be overloaded.
#[test]
fn a_slow_starting_server_gets_at_most_its_capacity_of_a_fair_share() {
    let mut host = Host::new(settings(), fleet(4));
    let step = 0.01;
    let mut sent_times = Vec::new();
    for index in 0..1500 {
        if index == 500 {
            host.update_entry(ListEntry { started_at: Some(host.now), ..entry(3) });
        }
        let sent = host.place_request(UNSAFE);
        if index >= 500 && sent.endpoint == EndpointId(3) {
            sent_times.push(host.now);
        }
        host.now += step;
        // Each request takes 0.06 s, so that the other servers are never idle.
        while host.in_flight.first().is_some_and(|sent| host.now - sent.sent_at >= 0.06) {
            let sent = host.in_flight[0];
            host.serve(sent);
        }
    }
    let fair_share = 2.0 / step / 4.0;
    for &from in &sent_times {
        let within = sent_times.iter().filter(|sent_at| (from..from + 2.0).contains(*sent_at)).count() as f64;
        assert!(within <= 0.8 * fair_share, "{within} of {fair_share} in the two seconds from {from}");
    }
    let early = sent_times.iter().filter(|sent_at| **sent_at < sent_times[0] + 2.0).count() as f64;
    assert!(
        !sent_times.is_empty() && early <= 0.35 * fair_share,
        "{early} of {fair_share} at the start of the slow start"
    );
}

/// Regression: with many proxies that have few requests each, a budget that must accumulate to a whole request per
/// server leaves a fleet idle that has just started, and never admits a class that costs more than the budget.
#[test]
fn slow_starting_servers_get_work_from_proxies_with_few_requests() {
    let mut host = Host::new(settings(), fleet(20));
    let (mut early, mut costly, mut total) = (0, 0, 0);
    for index in 0..400 {
        if index == 300 {
            for server in 0..20 {
                host.update_entry(ListEntry { started_at: Some(host.now), ..entry(server) });
            }
        }
        let (class, time) = if index % 4 == 0 { (UNSAFE, 0.1) } else { (SAFE, 0.005) };
        host.request(class);
        if let Some(sent) = host.in_flight.pop() {
            if index >= 300 {
                early += usize::from(index < 340);
                costly += usize::from(class == UNSAFE);
                total += 1;
            }
            host.now += time;
            host.serve(sent);
        }
        host.now += 0.1;
    }
    assert!(early >= 3, "{early} sent within four seconds");
    assert!(costly >= 8, "{costly} costly requests sent");
    // Costly requests take 0.1 s, the others 0.005 s: at most 80 mean requests.
    let work = (costly as f64 * 0.1 + (total - costly) as f64 * 0.005) / 0.02875;
    assert!(work <= 80.0, "work of {work} mean requests in ten seconds, {costly} costly requests");
}

/// Regression: after a fleet has grown to a multiple of its size, most servers are in slow start. If their share were
/// relative to the fleet's full capacity, the few old servers would get nearly all requests.
#[test]
fn a_fleet_mostly_in_slow_start_shares_work_by_present_capacity() {
    let mut host = Host::new(settings(), fleet(4));
    for server in 1..4 {
        host.update_entry(ListEntry { started_at: Some(host.now), ..entry(server) });
    }
    let mut to_slow_starting = 0;
    // Each request takes 0.06 s, so that the old server stays busy and loses against one that has nothing in flight.
    for _ in 0..1500 {
        to_slow_starting +=
            sent_endpoints(&host.request(SAFE).1).iter().filter(|endpoint| endpoint.0 > 0).count();
        host.now += 0.01;
        while host.in_flight.first().is_some_and(|sent| host.now - sent.sent_at >= 0.06) {
            let sent = host.in_flight[0];
            host.serve(sent);
        }
    }
    // At the end each has three quarters of its capacity, and together they have 2.3 times that of the old server.
    assert!(
        (150..=750).contains(&to_slow_starting),
        "{to_slow_starting} of 1500 to three slow-starting servers of four"
    );
}

/// Regression: with the whole fleet in slow start, its share of the present capacity is more than a server can handle.
#[test]
fn a_single_slow_starting_server_is_not_overloaded() {
    let mut host = Host::new(settings(), fleet(1));
    for _ in 0..200 {
        let sent = host.place_request(SAFE);
        host.now += 0.005;
        host.serve(sent);
    }
    host.update_entry(ListEntry { started_at: Some(host.now), ..entry(0) });
    let mut sent = 0;
    for _ in 0..200 {
        sent += sent_endpoints(&host.request(SAFE).1).len() + sent_endpoints(&host.advance(0.005)).len();
        for sent in host.in_flight.clone() {
            host.serve(sent);
        }
    }
    assert!((1..90).contains(&sent), "{sent} of 200 sent within the first second");
}

/// Returns how many requests 400 proxies send to the one server of 40 that is in slow start while no other server
/// responds. Each proxy first gets `before` requests in as many seconds, then none for `idle` seconds, then ten at
/// once.
fn sends_in_burst(before: u64, idle: Seconds) -> usize {
    let mut sent = 0;
    for seed in 0..400 {
        let mut host = Host::new(settings(), fleet(40));
        host.balancer = Balancer::new(settings(), seed).expect("the settings are valid");
        host.handle(Event::ListUpdated(ListUpdate::Saved(fleet(40))));
        host.update_entry(ListEntry { started_at: Some(host.now), ..entry(0) });
        host.now += 8.0 - before as f64;
        for _ in 0..before {
            host.now += 1.0;
            host.request(SAFE);
            host.in_flight.clear();
        }
        host.now += idle;
        for endpoint in (1..40).map(EndpointId) {
            let (outcome, rtt, report) = (Outcome::TimedOut, 1.0, LoadReport::default());
            host.handle(Event::ProbeEnded { endpoint, outcome, rtt, report });
        }
        for _ in 0..10 {
            host.now += 0.002;
            host.request(SAFE);
            sent += host.in_flight.drain(..).filter(|sent| sent.endpoint.0 == 0).count();
        }
    }
    sent
}

/// Regression: a budget that proxies can save up for a server in slow start is spent by all of them at once in a burst.
#[test]
fn a_burst_cannot_spend_a_saved_up_slow_start_budget() {
    // The server's share of 4000 requests is 100, of which it can handle 0.45 after 8 s and 0.87 after 18 s.
    // The budget is three times that, 0.4 of it is granted, and random variation adds to it.
    for (before, idle, max_sends) in [(0, 0.0, 81), (8, 0.0, 81), (8, 10.0, 156)] {
        let sent = sends_in_burst(before, idle);
        assert!((5..=max_sends).contains(&sent), "{sent} in the burst after {before} requests and {idle} s");
    }
}

/// Regression: a request without a candidate looks for one again every few ticks. With a new random number each time,
/// it would finally be granted the slow-starting server.
#[test]
fn repeated_selection_does_not_raise_the_chance_of_a_slow_starting_server() {
    let mut test_settings = settings();
    test_settings.rules.slow_start = 2000.0;
    let mut host = Host::new(test_settings, vec![ListEntry { started_at: Some(100.0), ..entry(0) }]);
    for _ in 0..100 {
        host.request(SAFE);
    }
    let at_once = host.in_flight.len();
    host.advance(1.9);
    assert!(
        at_once < 45 && host.in_flight.len() <= at_once + 2,
        "{at_once} at once, {} later",
        host.in_flight.len()
    );
}
