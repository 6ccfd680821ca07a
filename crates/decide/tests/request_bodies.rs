//! Requests that are forwarded while their bodies are still arriving.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// A request whose body arrives slowly is forwarded at once, and its time limits start at the last byte.
#[test]
fn time_limits_start_when_the_body_is_complete() {
    let mut host = Host::new(settings(), fleet(3));
    host.place_request(UNSAFE);
    let id = RequestId(1000);
    let request = Request { id, time_left: 2.0, class: UNSAFE, tenant: None };
    let actions = host.handle(Event::HeadReceived(request));
    assert_eq!(sent_endpoints(&actions).len(), 1, "{actions:?}");
    let sent = *host.in_flight.last().expect("an attempt");
    let actions = host.advance(30.0);
    assert!(!is_rejected(&actions, id) && !has_failed(&actions, id), "{actions:?}");
    let actions = host.handle(Event::BodyReceived { request: id, time_left: 2.0 });
    assert!(actions.iter().all(|action| matches!(action, Action::SetTimer { .. })), "{actions:?}");
    let actions = host.advance(0.1);
    assert!(!has_failed(&actions, id));
    let actions = host.advance(3.0);
    assert!(has_failed(&actions, id), "the time limits start at the last byte: {actions:?}");
    host.end_attempt(sent, Outcome::Cancelled, LoadReport::default());
}

/// Regression: a body that has been partly forwarded can't be sent again. The outcome `NotSent` ends such a request
/// with a rejection, since it never ran.
#[test]
fn a_request_with_an_incomplete_body_never_ran() {
    let mut host = Host::new(settings(), fleet(3));
    let id = RequestId(1000);
    host.handle(Event::HeadReceived(Request { id, time_left: 2.0, class: UNSAFE, tenant: None }));
    let sent = *host.in_flight.last().expect("an attempt");
    host.advance(0.1);
    let actions = host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default());
    assert_eq!(sent_endpoints(&actions).len(), 1, "another server is tried: {actions:?}");
    let again = *host.in_flight.last().expect("an attempt");
    let actions = host.end_attempt(again, Outcome::NotSent, LoadReport::default());
    assert!(is_rejected(&actions, id), "{actions:?}");
}
