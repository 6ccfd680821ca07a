//! When a proxy that has not called discovery counts as notified of a change of the list.

use mosshead_world::discovery::DiscoveryCall;
use mosshead_world::events::EventKind;
use mosshead_world::scenario::Scenario;
use mosshead_world::{Input, Output, ServerId, ServerState, Time, World};

/// A server drains at 1 s. Discovery is down from 0.5 s to 2 s.
const DAY: &str = r#"
title = "notification"
about = "one proxy"
length = "20s"
zones = ["a"]
load = { proxies = 1, rate = "1/s" }
rules = { ask_within = "2s" }
discovery = { notice = "100ms..200ms" }

[[kind]]
name = "plain"
count = 3
cores = 1

[[class]]
name = "any"
share = "100%"
work = "10ms"
target = "1s"
deadline = "1s"
worth = 1
effect = "safe"

[[trouble]]
fault = "discovery-down"
at = "500ms"
length = "1500ms"

[[trouble]]
fault = "churn"
at = "1s"
length = "100ms"
every = "200ms"
size = "0%"
delay = "60s"
"#;

/// The instant at which the only proxy counts as notified that a server drains, if it calls discovery at these instants and
/// gives each call up after a second; with the number of calls that failed.
fn notified_of_the_drain_at(calls: &[Time]) -> (Time, usize) {
    let scenario = Scenario::read(DAY).expect("a scenario");
    let mut world = World::new(&scenario, 1);
    let (mut outputs, mut failed) = (Vec::new(), 0);
    let mut notified_at = None;
    world.handle_input(Time::ZERO, Input::ProxyStarted { proxy: 0 });
    for step in 0..2000 {
        let now = Time::from_millis(10 * step);
        world.advance(now, &mut outputs);
        failed +=
            outputs.drain(..).filter(|output| matches!(output, Output::DiscoveryResponded(_, None))).count();
        if calls.contains(&now) {
            let call = DiscoveryCall { proxy: 0, number: step, known_version: None, max_wait: Time::ZERO };
            world.handle_input(now, Input::DiscoveryCalled(call));
        }
        for event in world.drain_events() {
            if let EventKind::ServerStateNotified {
                server: ServerId(_), state: ServerState::Draining, ..
            } = event.kind
            {
                notified_at = notified_at.or(Some(event.at));
            }
        }
    }
    (notified_at.expect("it is notified in the end"), failed)
}

#[test]
fn a_proxy_that_does_not_call_counts_as_notified_after_the_allowed_interval() {
    let (notified_at, failed) = notified_of_the_drain_at(&[]);
    assert_eq!(failed, 0);
    // It is up from the beginning, and the world looks once a second.
    assert!((Time::from_millis(2000)..=Time::from_millis(3000)).contains(&notified_at), "{notified_at}");
}

#[test]
fn a_served_call_restarts_the_allowed_interval() {
    let (notified_at, failed) = notified_of_the_drain_at(&[Time::from_millis(300)]);
    assert_eq!(failed, 0);
    assert!((Time::from_millis(2300)..=Time::from_millis(3400)).contains(&notified_at), "{notified_at}");
}

/// WIRE-mosshead.md, `rules.ask_within_s`: four times the allowed interval after a failed call. A referee that did not know of it
/// blamed proxies that backed off from a discovery which was down.
#[test]
fn after_a_failed_call_a_proxy_has_four_times_the_allowed_interval() {
    let (notified_at, failed) = notified_of_the_drain_at(&[Time::from_millis(1500)]);
    assert_eq!(failed, 1);
    assert!((Time::from_millis(9500)..=Time::from_millis(10_600)).contains(&notified_at), "{notified_at}");
}

#[test]
fn a_served_call_ends_the_longer_interval_of_a_failed_one() {
    let (notified_at, failed) = notified_of_the_drain_at(&[Time::from_millis(600), Time::from_millis(2100)]);
    assert_eq!(failed, 1);
    // The response itself notifies it.
    assert!((Time::from_millis(2100)..=Time::from_millis(2300)).contains(&notified_at), "{notified_at}");
}
