//! Connections that are reused or closed.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: a proxy that seldom meets a server finds every connection to it idle. Where servers are silent for a while,
/// that was taken for broken connections: each proxy closed working ones, and no server was counted as failing.
#[test]
fn silent_servers_close_no_idle_connections() {
    let mut host = Host::new(settings(), fleet(1));
    let mut closed = 0;
    for outcome in [Outcome::Served, Outcome::TimedOut, Outcome::TimedOut, Outcome::Served].repeat(3) {
        let (_, actions) = host.request(UNSAFE);
        closed +=
            actions.iter().filter(|action| matches!(action, Action::CloseIdleConnections { .. })).count();
        host.now += if outcome == Outcome::Served { 0.05 } else { 2.0 };
        for sent in std::mem::take(&mut host.in_flight) {
            host.end_attempt(sent, outcome, LoadReport::default());
        }
        host.now += 3.0;
    }
    assert_eq!(closed, 0, "connections closed for want of an answer");
}

/// Regression: where new connections are expensive, a proxy with few requests that spreads them opens one for each.
#[test]
fn expensive_connections_are_reused() {
    for (price, least, most) in [(0.5, 20, 20), (0.0, 4, 16)] {
        let mut all = settings();
        all.connection_cost = price;
        let mut host = Host::new(all, fleet(2));
        let first = host.place_request(SAFE);
        host.now += 0.05;
        host.serve(first);
        let again = (0..20).filter(|_| {
            host.now += 1.0;
            let sent = host.place_request(SAFE);
            let known = sent.endpoint == first.endpoint;
            host.now += 0.05;
            host.serve(sent);
            known
        });
        let again = again.count();
        assert!((least..=most).contains(&again), "{again} of 20 to the one connected at {price}");
    }
}
