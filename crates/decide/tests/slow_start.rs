//! Servers in slow start get what they can do.

mod common;
use common::*;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;

/// Regression: if every proxy sent a server in slow start its fair share, all of them together would overload it.
#[test]
fn a_slow_starting_server_gets_at_most_its_capacity_of_a_fair_share() {
    let mut host = Host::new(settings(), fleet(4));
    let step = 0.01;
    let mut window = Vec::new();
    for index in 0..1500 {
        if index == 500 {
            host.update_entry(ListEntry { started_at: Some(host.now), ..entry(3) });
        }
        let sent = host.place_request(UNSAFE);
        if index >= 500 && sent.endpoint == EndpointId(3) {
            window.push(host.now);
        }
        host.now += step;
        // Each takes 0.06 s, so that the other servers are never idle.
        while host.in_flight.first().is_some_and(|sent| host.now - sent.sent_at >= 0.06) {
            let sent = host.in_flight[0];
            host.serve(sent);
        }
    }
    let fair = 2.0 / step / 4.0;
    for &from in &window {
        let within = window.iter().filter(|index| (from..from + 2.0).contains(*index)).count() as f64;
        assert!(within <= 0.8 * fair, "{within} of {fair} in a window from {from}");
    }
    let early = window.iter().filter(|index| **index < window[0] + 2.0).count() as f64;
    assert!(!window.is_empty() && early <= 0.35 * fair, "{early} of {fair} while it is coldest");
}

/// Regression: where many proxies have few requests each, a budget that has to add up to a request for each server leaves a
/// fleet that has just started idle, and a class that costs more than the budget never gets there.
#[test]
fn slow_starting_servers_get_work_from_proxies_with_few_requests() {
    let mut host = Host::new(settings(), fleet(20));
    let (mut early, mut costly, mut all) = (0, 0, 0);
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
                all += 1;
            }
            host.now += time;
            host.serve(sent);
        }
        host.now += 0.1;
    }
    assert!(early >= 3, "{early} within four seconds");
    assert!(costly >= 8, "{costly} costly ones");
    // Costly ones take 0.1, the others 0.005 seconds: 80 mean requests at most.
    let work = (costly as f64 * 0.1 + (all - costly) as f64 * 0.005) / 0.02875;
    assert!(work <= 80.0, "{work} mean requests in ten seconds, {costly} costly");
}

/// Regression: when a fleet grows many times over, most of its servers are in slow start; the share of a fleet past its
/// slow start would leave the few old servers with nearly everything.
#[test]
fn a_fleet_mostly_in_slow_start_shares_work_by_present_capacity() {
    let mut host = Host::new(settings(), fleet(4));
    for server in 1..4 {
        host.update_entry(ListEntry { started_at: Some(host.now), ..entry(server) });
    }
    let mut to_slow_starting = 0;
    // Each takes 0.06 s, so that the old server is kept busy and loses to one that has nothing in flight.
    for _ in 0..1500 {
        to_slow_starting +=
            sent_endpoints(&host.request(SAFE).1).iter().filter(|endpoint| endpoint.0 > 0).count();
        host.now += 0.01;
        while host.in_flight.first().is_some_and(|sent| host.now - sent.sent_at >= 0.06) {
            let sent = host.in_flight[0];
            host.serve(sent);
        }
    }
    // By then each can do three quarters, all of them 2.3 times what the old one can.
    assert!(
        (150..=750).contains(&to_slow_starting),
        "{to_slow_starting} of 1500 to three slow-starting servers of four"
    );
}

/// Regression: with the whole fleet in slow start, a share of the present capacity is more than a server can do.
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
    assert!((1..90).contains(&sent), "{sent} of 200 within the first second");
}

/// The requests that 400 proxies send to the one server of 40 in slow start while all others fall silent: each first has so many requests
/// in as many seconds, then none for `idle` seconds, then ten at once.
fn rush(before: u64, idle: Seconds) -> usize {
    let mut sent = 0;
    for seed in 0..400 {
        let mut host = Host::new(settings(), fleet(40));
        host.balancer = Balancer::new(settings(), seed).expect("legal settings");
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

/// Regression: a budget that proxies save up for a server in slow start would be spent by all of them at once in a rush.
#[test]
fn a_rush_finds_no_saved_up_budget() {
    // The server's part of 4000 requests is 100, of which it can do 0.45 after 8 s, 0.87 after 18 s.
    // The budget is three times that; 0.4 of it are granted, and chance adds to it.
    for (before, idle, most) in [(0, 0.0, 81), (8, 0.0, 81), (8, 10.0, 156)] {
        let sent = rush(before, idle);
        assert!((5..=most).contains(&sent), "{sent} in the rush after {before} requests and {idle} s");
    }
}

/// Regression: a request without a candidate looks again every few ticks; if it drew each time, it would win in the end.
#[test]
fn looking_again_does_not_win_a_slow_starting_server() {
    let mut all = settings();
    all.rules.slow_start = 2000.0;
    let mut host = Host::new(all, vec![ListEntry { started_at: Some(100.0), ..entry(0) }]);
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
