//! Guarantees under any load: one final answer in time, and no second execution unless the request's class allows it.

mod common;
use common::*;
use mosshead_decide::interface::*;

#[test]
fn a_request_without_any_server_waits_and_is_rejected_in_time() {
    let mut host = Host::new(settings(), Vec::new());
    let (request, actions) = host.request(UNSAFE);
    assert!(sent_endpoints(&actions).is_empty() && !is_rejected(&actions, request));
    let start = host.now;
    let mut answered = None;
    while answered.is_none() && host.now < start + 3.0 {
        let actions = host.advance(0.005);
        answered = (is_rejected(&actions, request)).then_some(host.now);
    }
    assert!(answered.is_some_and(|answered_at| answered_at <= start + 2.0), "answered at {answered:?}");
}

#[test]
fn a_waiting_request_is_sent_once_a_server_appears() {
    let mut host = Host::new(settings(), Vec::new());
    host.request(SAFE);
    host.update_entry(entry(0));
    assert_eq!(sent_endpoints(&host.advance(0.1)), [EndpointId(0)]);
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut host = Host::new(settings(), fleet(1));
    let sent = host.place_request(UNSAFE);
    assert!(sent.deadline <= host.now + 2.0);
    host.now += 2.0;
    let actions = host.end_attempt(sent, Outcome::TimedOut, LoadReport::default());
    assert!(has_failed(&actions, sent.request) && sent_endpoints(&actions).is_empty());
}

#[test]
fn the_deadline_follows_the_time_left_not_the_class() {
    let mut host = Host::new(settings(), fleet(2));
    host.request_as(UNSAFE, None, 0.3);
    assert!(host.in_flight[0].deadline <= host.now + 0.3);
}

#[test]
fn no_action_follows_a_final_answer_or_a_withdrawal() {
    let mut host = Host::new(settings(), fleet(4));
    let (first, second) = (host.place_request(SAFE), host.place_request(SAFE));
    host.serve(first);
    let actions = host.handle(Event::RequestWithdrawn { request: second.request });
    assert!(actions.contains(&Action::Cancel { request: second.request, attempt: second.attempt }));
    assert!(host.end_attempt(second, Outcome::Cancelled, LoadReport::default()).is_empty());
    assert!(
        host.handle(Event::RequestWithdrawn { request: first.request }).is_empty(),
        "the request is no longer pending"
    );
    assert!(host.advance(5.0).is_empty());
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    for outcome in [Outcome::Errored, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let mut host = Host::new(settings(), fleet(4));
        let sent = host.place_request(UNSAFE);
        let actions = host.end_attempt(sent, outcome, LoadReport::default());
        assert!(has_failed(&actions, sent.request), "{outcome:?}: {actions:?}");
        assert!(sent_endpoints(&actions).is_empty() && !is_rejected(&actions, sent.request));
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_retried_and_rejected_in_the_end() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut host = Host::new(settings(), fleet(4));
        let sent = host.place_request(UNSAFE);
        let second = sent_endpoints(&host.end_attempt(sent, outcome, LoadReport::default()));
        assert!(second.len() == 1 && second[0] != sent.endpoint, "{outcome:?}");
        let again = host.in_flight[0];
        let third = host.end_attempt(again, outcome, LoadReport::default());
        assert_eq!(sent_endpoints(&third).len(), 1);
        let last = host.in_flight[0];
        let actions = host.end_attempt(last, outcome, LoadReport::default());
        assert!(is_rejected(&actions, sent.request), "all three attempts are used up: {actions:?}");
    }
}

#[test]
fn an_attempt_that_was_never_sent_ends_the_request() {
    let mut host = Host::new(settings(), fleet(4));
    let sent = host.place_request(UNSAFE);
    let actions = host.end_attempt(sent, Outcome::NotSent, LoadReport::default());
    assert!(is_rejected(&actions, sent.request));
}

#[test]
fn a_safe_request_is_repeated_after_an_error() {
    let mut host = Host::new(settings(), fleet(4));
    let sent = host.place_request(SAFE);
    let again = sent_endpoints(&host.end_attempt(sent, Outcome::Errored, LoadReport::default()));
    assert!(again.len() == 1 && again[0] != sent.endpoint);
}

#[test]
fn a_keyed_request_is_retried_only_where_its_repeats_are_discarded() {
    for (scope, is_group_scope) in [(DedupScope::Group, true), (DedupScope::Zone, false)] {
        let mut test_settings = settings();
        test_settings.classes[KEYED.0].repeat_effect = RepeatEffect::Keyed { scope, window: 1.0 };
        let servers = fleet(8)
            .into_iter()
            .map(|entry| ListEntry { zone: ZoneId(entry.endpoint.0 as usize % 2), ..entry });
        let mut host = Host::new(test_settings, servers.collect());
        for _ in 0..20 {
            let sent = host.place_request(KEYED);
            for again in sent_endpoints(&host.end_attempt(sent, Outcome::Reset, LoadReport::default())) {
                let is_in_scope = if is_group_scope {
                    again.0 / 2 == sent.endpoint.0 / 2
                } else {
                    again.0 % 2 == sent.endpoint.0 % 2
                };
                assert!(is_in_scope, "{scope:?}: {again:?} after {:?}", sent.endpoint);
            }
            for sent in host.in_flight.clone() {
                host.serve(sent);
            }
            host.now += 20.0;
        }
    }
}

#[test]
fn a_keyed_request_is_not_repeated_past_its_window() {
    let mut test_settings = settings();
    test_settings.limits.can_hedge = false;
    for (wait, again) in [(0.9, 1), (1.0, 0)] {
        let mut host = Host::new(test_settings.clone(), fleet(2));
        let sent = host.place_request(KEYED);
        host.now += wait;
        let actions = host.end_attempt(sent, Outcome::Errored, LoadReport::default());
        assert_eq!(sent_endpoints(&actions).len(), again, "after {wait}");
        assert_eq!(has_failed(&actions, sent.request), again == 0);
    }
}

/// Regression: some servers reject requests that they have already started. Sent again, such a request would run twice.
#[test]
fn a_rejection_is_no_proof_where_servers_reject_started_requests() {
    for class in [UNSAFE, KEYED] {
        let mut test_settings = settings();
        test_settings.rules.may_reject_after_start = true;
        test_settings.limits.can_hedge = false;
        let mut host = Host::new(test_settings, fleet(8));
        let sent = host.place_request(class);
        let mut actions = host.end_attempt(sent, Outcome::Rejected, LoadReport::default());
        if class == KEYED {
            assert_eq!(
                sent_endpoints(&actions),
                [EndpointId(sent.endpoint.0 ^ 1)],
                "the other server of its group"
            );
            let again = host.in_flight[0];
            host.now += 1.0;
            actions = host.end_attempt(again, Outcome::Rejected, LoadReport::default());
        }
        assert!(
            sent_endpoints(&actions).is_empty() && has_failed(&actions, sent.request),
            "{class:?}: {actions:?}"
        );
    }
}

/// Regression: an answer that is delayed until the deadline leaves the client no time for a retry.
#[test]
fn a_request_that_is_given_up_is_answered_at_once() {
    for (class, outcome) in
        [(UNSAFE, Outcome::Errored), (KEYED, Outcome::Reset), (SAFE, Outcome::ConnectFailed)]
    {
        let mut test_settings = settings();
        test_settings.limits.max_attempts = 1;
        let mut host = Host::new(test_settings, fleet(3));
        let sent = host.place_request(class);
        host.now += 0.01;
        let actions = host.end_attempt(sent, outcome, LoadReport::default());
        assert!(
            has_failed(&actions, sent.request) || is_rejected(&actions, sent.request),
            "{outcome:?}: {actions:?}"
        );
    }
    // A request that is rejected early is answered when it arrives, not by a timer.
    let mut host = Host::new(settings(), fleet(1));
    let at_once = (0..100).filter(|_| {
        let (request, actions) = host.request(UNSAFE);
        is_rejected(&actions, request)
    });
    assert!(at_once.count() > 40);
}
