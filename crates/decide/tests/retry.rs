//! Retries and hedges.

mod common;
use common::*;
use mosshead_decide::interface::*;

#[test]
fn a_hedge_is_sent_late_and_the_slower_attempt_is_cancelled() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place_request(SAFE);
    fail_twice(&mut host, UNSAFE, first.endpoint, Outcome::Reset);
    assert!(sent_endpoints(&host.advance(0.1)).is_empty(), "too early");
    let hedges = sent_endpoints(&host.advance(0.5));
    assert!(hedges.len() == 1 && hedges[0] != first.endpoint, "{hedges:?}");
    let hedge = *host.in_flight.last().expect("the hedge");
    assert_eq!(host.serve(hedge), [Action::Cancel { request: first.request, attempt: first.attempt }]);
    let unsafe_attempt = host.place_request(UNSAFE);
    assert!(sent_endpoints(&host.advance(1.5)).is_empty(), "{unsafe_attempt:?}");
}

/// Regression: servers go on running cancelled attempts, so replacing a slow attempt would double its work.
#[test]
fn without_hedging_no_attempt_is_cancelled_before_its_timeout() {
    let mut test_settings = settings();
    test_settings.limits.can_hedge = false;
    let mut host = Host::new(test_settings, fleet(4));
    let sent = host.place_request(SAFE);
    let early = host.advance(1.9);
    assert!(
        early.iter().all(|action| matches!(action, Action::SetTimer { .. })),
        "it may still be served: {early:?}"
    );
    let actions = host.advance(0.2);
    assert!(
        actions.contains(&Action::Cancel { request: sent.request, attempt: sent.attempt })
            && has_failed(&actions, sent.request)
    );
}

/// Regression: servers go on running cancelled attempts. Hedging at every slow server doubles the work just when queues
/// are long, and overloads a fleet that is near its limit.
#[test]
fn no_hedging_at_a_silent_server_that_is_not_ejected() {
    let mut host = Host::new(settings(), fleet(4));
    host.place_request(SAFE);
    assert!(sent_endpoints(&host.advance(1.5)).is_empty());
}

/// Regression: a hedge of a queued request lengthens another queue; a few of them overload the whole fleet.
#[test]
fn no_hedging_at_a_server_that_responds() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place_request(SAFE);
    let other = std::iter::repeat_with(|| host.place_request(UNSAFE))
        .take(20)
        .find(|sent| sent.endpoint == first.endpoint);
    host.advance(0.1);
    host.serve(other.expect("an attempt at the same server"));
    let hedges = sent_endpoints(&host.advance(1.0));
    assert!(hedges.is_empty(), "{hedges:?}");
}

/// Regression: hedges are sent just when queues are long, and lengthen them.
#[test]
fn no_hedging_to_a_crowded_server() {
    let mut host = Host::new(settings(), fleet(2));
    report_once(&mut host, &[load_report(2.0, 1.0), load_report(2.2, 1.2)]);
    host.place_request(SAFE);
    for _ in 0..2 {
        host.place_request(UNSAFE);
    }
    assert!(sent_endpoints(&host.advance(1.0)).is_empty());
}

/// Regression: hedges that are considered but not sent must not use up the retry budget when servers are crowded.
#[test]
fn a_hedge_that_is_not_sent_spends_no_budget() {
    let mut host = Host::new(settings(), fleet(2));
    report_once(&mut host, &[load_report(2.0, 1.0), load_report(2.2, 1.2)]);
    let mut hedges = 0;
    for index in 0..400 {
        let sent = host.place_request(SAFE);
        // Most requests are served fast; every third one is slow, so that a hedge is considered.
        hedges += sent_endpoints(&host.advance(if index % 3 == 0 { 0.3 } else { 0.01 })).len();
        host.end_attempt(sent, Outcome::Served, load_report(2.0 + f64::from(index % 50) / 100.0, 1.0));
    }
    let sent = host.place_request(SAFE);
    host.now += 0.001;
    let retried =
        sent_endpoints(&host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default())).len();
    assert!(hedges <= 5 && retried == 1, "{hedges} hedges at crowded servers, {retried} retries after them");
}

/// Regression: when all attempts fail, unlimited retries multiply the load that causes the failures.
#[test]
fn retries_stay_a_fraction_of_the_requests() {
    let mut host = Host::new(settings(), fleet(6));
    let mut retries = 0;
    for _ in 0..500 {
        host.request(SAFE);
        while let Some(sent) = host.in_flight.first().copied() {
            host.now += 0.001;
            retries +=
                sent_endpoints(&host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default())).len();
        }
    }
    assert!((20..=130).contains(&retries), "{retries} retries for 500 requests");
}

#[test]
fn a_started_stream_is_not_retried_and_its_hedges_are_cancelled() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place_request(SAFE);
    fail_twice(&mut host, UNSAFE, first.endpoint, Outcome::Reset);
    host.advance(0.6);
    let hedge = *host.in_flight.last().expect("a hedge");
    let actions = host.handle(Event::ResponseStarted { request: first.request, attempt: first.attempt });
    assert_eq!(actions, [Action::Cancel { request: hedge.request, attempt: hedge.attempt }]);
    assert!(host.advance(10.0).is_empty());
    assert!(host.serve(first).iter().all(|action| matches!(action, Action::Cancel { .. })));
}
