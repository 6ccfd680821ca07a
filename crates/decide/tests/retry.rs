//! Retries and hedged attempts.

mod common;
use common::*;
use mosshead_decide::interface::*;

#[test]
fn a_hedged_attempt_is_sent_late_and_the_slower_one_is_cancelled() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place_request(SAFE);
    fail_twice(&mut host, UNSAFE, first.endpoint, Outcome::Reset);
    assert!(sent_endpoints(&host.advance(0.1)).is_empty(), "too early");
    let copies = sent_endpoints(&host.advance(0.5));
    assert!(copies.len() == 1 && copies[0] != first.endpoint, "{copies:?}");
    let copy = *host.in_flight.last().expect("the hedged attempt");
    assert_eq!(host.serve(copy), [Action::Cancel { request: first.request, attempt: first.attempt }]);
    let unsafe_one = host.place_request(UNSAFE);
    assert!(sent_endpoints(&host.advance(1.5)).is_empty(), "{unsafe_one:?}");
}

/// Regression: servers go on with what is cancelled, so that a slow attempt's work is done twice.
#[test]
fn without_hedging_no_attempt_is_cancelled_before_its_timeout() {
    let mut all = settings();
    all.limits.can_hedge = false;
    let mut host = Host::new(all, fleet(4));
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

/// Regression: what is cancelled goes on running. With hedged attempts past every slow server the work is done twice just
/// while queues are long, and a fleet near its limit is overloaded.
#[test]
fn no_hedging_past_a_server_that_is_merely_silent() {
    let mut host = Host::new(settings(), fleet(4));
    host.place_request(SAFE);
    assert!(sent_endpoints(&host.advance(1.5)).is_empty());
}

/// Regression: a hedged attempt for a queued request lengthens another queue; a few of them overload the whole fleet.
#[test]
fn no_hedging_past_a_server_that_responds() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place_request(SAFE);
    let other = std::iter::repeat_with(|| host.place_request(UNSAFE))
        .take(20)
        .find(|sent| sent.endpoint == first.endpoint);
    host.advance(0.1);
    host.serve(other.expect("another one there"));
    let copies = sent_endpoints(&host.advance(1.0));
    assert!(copies.is_empty(), "{copies:?}");
}

/// Regression: hedged attempts go out just when queues are long, and make them longer.
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

/// Regression: hedged attempts that are considered but not sent would use up the retry budget just where servers are crowded.
#[test]
fn a_hedged_attempt_that_is_not_sent_spends_no_budget() {
    let mut host = Host::new(settings(), fleet(2));
    report_once(&mut host, &[load_report(2.0, 1.0), load_report(2.2, 1.2)]);
    let mut copies = 0;
    for index in 0..400 {
        let sent = host.place_request(SAFE);
        // Most are answered at once; every third is slow, so that a hedged attempt is thought of.
        copies += sent_endpoints(&host.advance(if index % 3 == 0 { 0.3 } else { 0.01 })).len();
        host.end_attempt(sent, Outcome::Served, load_report(2.0 + f64::from(index % 50) / 100.0, 1.0));
    }
    let sent = host.place_request(SAFE);
    host.now += 0.001;
    let retried =
        sent_endpoints(&host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default())).len();
    assert!(
        copies <= 5 && retried == 1,
        "{copies} hedged attempts at crowded servers, {retried} retries after them"
    );
}

/// Regression: when everything fails, retries multiply the load that made it fail.
#[test]
fn retries_stay_a_fraction_of_the_requests() {
    let mut host = Host::new(settings(), fleet(6));
    let mut extra = 0;
    for _ in 0..500 {
        host.request(SAFE);
        while let Some(sent) = host.in_flight.first().copied() {
            host.now += 0.001;
            extra +=
                sent_endpoints(&host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default())).len();
        }
    }
    assert!((20..=130).contains(&extra), "{extra} retries for 500 requests");
}

#[test]
fn a_started_stream_is_not_retried_and_its_hedged_attempts_are_cancelled() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place_request(SAFE);
    fail_twice(&mut host, UNSAFE, first.endpoint, Outcome::Reset);
    host.advance(0.6);
    let copy = *host.in_flight.last().expect("a hedged attempt");
    let actions = host.handle(Event::ResponseStarted { request: first.request, attempt: first.attempt });
    assert_eq!(actions, [Action::Cancel { request: copy.request, attempt: copy.attempt }]);
    assert!(host.advance(10.0).is_empty());
    assert!(host.serve(first).iter().all(|action| matches!(action, Action::Cancel { .. })));
}
