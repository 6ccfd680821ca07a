//! Reuse and closing of connections.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: a proxy that rarely uses a server has only idle connections to it. When servers did not respond for a
/// while, the proxies took these connections for broken and closed working ones, and no server was counted as failing.
#[test]
fn timeouts_at_silent_servers_close_no_idle_connections() {
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
    assert_eq!(closed, 0, "connections closed after timeouts");
}

/// Regression: if new connections are expensive, a proxy with few requests must not open one for each by spreading
/// them.
#[test]
fn expensive_connections_are_reused() {
    for (price, min_reused, max_reused) in [(0.5, 20, 20), (0.0, 4, 16)] {
        let mut test_settings = settings();
        test_settings.connection_cost = price;
        let mut host = Host::new(test_settings, fleet(2));
        let first = host.place_request(SAFE);
        host.now += 0.05;
        host.serve(first);
        let reused = (0..20).filter(|_| {
            host.now += 1.0;
            let sent = host.place_request(SAFE);
            let is_same_server = sent.endpoint == first.endpoint;
            host.now += 0.05;
            host.serve(sent);
            is_same_server
        });
        let reused = reused.count();
        assert!(
            (min_reused..=max_reused).contains(&reused),
            "{reused} of 20 reuse the connection at a cost of {price}"
        );
    }
}
