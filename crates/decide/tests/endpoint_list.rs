//! Updates of the list of servers.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: a restarted process must not inherit the history of its predecessor.
#[test]
fn a_restart_resets_a_server_but_not_its_attempts_in_flight() {
    let mut host = Host::new(settings(), fleet(2));
    let sent = host.place_request(UNSAFE);
    host.end_attempt(sent, Outcome::ConnectFailed, LoadReport::default());
    host.in_flight.clear();
    let server = sent.endpoint.0;
    // It started 60 s ago, so that its slow start is over.
    host.update_entry(ListEntry { started_at: Some(host.now - 60.0), ..entry(server) });
    let placed: Vec<u32> = (0..6).map(|_| host.place_request(UNSAFE).endpoint.0).collect();
    assert!(placed.contains(&server), "{placed:?}");
}

/// Regression: the ids of removed servers are reused; the new server must not inherit the old one's history.
#[test]
fn a_reused_endpoint_id_starts_without_history() {
    let mut host = Host::new(settings(), fleet(3));
    fail_twice(&mut host, UNSAFE, EndpointId(1), Outcome::Reset);
    host.handle(Event::ListUpdated(ListUpdate::Full(vec![entry(0), entry(2)])));
    host.update_entry(entry(1));
    let placed = (0..20).filter(|_| host.place_request(UNSAFE).endpoint.0 == 1).count();
    assert!(placed > 3, "{placed} of 20");
}

/// Regression: relative to a mean that has moved, a server without a response looks slow or fast.
#[test]
fn a_server_without_responses_looks_like_any_other() {
    let mut host = Host::new(settings(), fleet(2));
    for _ in 0..400 {
        let sent = host.place_request(SAFE);
        host.now += 0.0002;
        host.serve(sent);
    }
    host.update_entry(ListEntry { started_at: Some(host.now - 60.0), ..entry(1) });
    let placed: Vec<u32> = (0..6).map(|_| host.place_request(UNSAFE).endpoint.0).collect();
    assert_eq!(placed.iter().filter(|server| **server == 1).count(), 3, "{placed:?}");
}

#[test]
fn failed_list_watches_are_retried_with_backoff() {
    let mut host = Host::new(Settings { membership: Membership::Pull, ..settings() }, fleet(2));
    assert!(host.actions.contains(&Action::WatchList));
    let mut waits = Vec::new();
    for _ in 0..4 {
        let actions = host.handle(Event::ListUpdated(ListUpdate::Failed));
        let [Action::SetTimer { delay, .. }] = actions[..] else { panic!("{actions:?}") };
        waits.push(delay);
        assert_eq!(host.advance(delay + 0.001), [Action::WatchList]);
    }
    assert!(waits[3] > 2.0 * waits[0] && waits.iter().all(|wait| *wait < 10.0), "{waits:?}");
    host.handle(Event::ListUpdated(ListUpdate::Full(fleet(2))));
    let actions = host.handle(Event::ListUpdated(ListUpdate::Failed));
    assert!(
        matches!(actions[..], [Action::SetTimer { delay, .. }] if delay < 1.0),
        "a successful update resets the backoff"
    );
    let mut host = Host::new(settings(), fleet(2));
    assert!(host.handle(Event::ListUpdated(ListUpdate::Failed)).is_empty() && host.actions.is_empty());
}

#[test]
fn a_draining_or_removed_server_gets_no_requests_after_the_update() {
    for readiness in [Readiness::Draining, Readiness::Removed] {
        let mut host = Host::new(settings(), fleet(3));
        host.update_entry(ListEntry { readiness, ..entry(1) });
        for _ in 0..50 {
            let sent = host.place_request(SAFE);
            assert_ne!(sent.endpoint, EndpointId(1));
            host.serve(sent);
        }
        host.handle(Event::ListUpdated(ListUpdate::Full(vec![entry(2)])));
        for _ in 0..20 {
            let sent = host.place_request(SAFE);
            assert_eq!(sent.endpoint, EndpointId(2), "servers missing from a full list are removed");
            host.serve(sent);
        }
    }
}
