//! Failing servers are ejected, and become candidates again after successful trials.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: occasional failures happen at any server. If each caused an ejection, most of a healthy fleet would be
/// idle and the rest overloaded.
#[test]
fn a_single_failure_ejects_no_server() {
    let mut host = Host::new(settings(), fleet(4));
    let (mut has_failed, mut placed) = ([false; 4], [0; 4]);
    for _ in 0..200 {
        let sent = host.place_request(UNSAFE);
        let index = sent.endpoint.0 as usize;
        placed[index] += 1;
        host.now += 0.01;
        let first = !std::mem::replace(&mut has_failed[index], true);
        host.end_attempt(sent, if first { Outcome::Reset } else { Outcome::Served }, LoadReport::default());
    }
    assert!(placed.iter().all(|count| *count > 30), "{placed:?}");
}

/// Regression: if most of a fleet is ejected for not responding, the few others would get all requests and be
/// overloaded.
#[test]
fn the_few_servers_not_ejected_do_not_get_everything() {
    let mut host = Host::new(settings(), fleet(4));
    for server in 0..3 {
        fail_twice(&mut host, UNSAFE, EndpointId(server), Outcome::Reset);
    }
    let placed = (0..40).filter(|_| {
        let sent = host.place_request(UNSAFE);
        host.now += 0.01;
        host.serve(sent);
        sent.endpoint.0 < 3
    });
    let placed = placed.count();
    assert!(placed > 10, "{placed} of 40");
}

/// Regression: a server that fails fast has a low load, so it would be selected again and again.
#[test]
fn fast_errors_eject_a_server_until_trials_with_safe_requests_succeed() {
    let mut host = Host::new(settings(), fleet(3));
    fail_twice(&mut host, SAFE, EndpointId(1), Outcome::Errored);
    for _ in 0..40 {
        let sent = host.place_request(UNSAFE);
        assert_ne!(sent.endpoint.0, 1, "ejected");
        host.now += 0.01;
        host.serve(sent);
    }
    host.advance(3.0);
    for _ in 0..20 {
        let sent = host.place_request(UNSAFE);
        assert_ne!(sent.endpoint.0, 1, "an unsafe request must not be a trial");
        host.serve(sent);
    }
    let trials = count_requests(&mut host, 40, 3);
    assert!(trials[1] > 3, "a candidate again after successful trials: {trials:?}");
}

/// Regression: if most servers look unhealthy, the evidence contradicts itself, and ejections would overload the rest.
#[test]
fn when_most_servers_fail_all_stay_candidates() {
    let mut host = Host::new(settings(), fleet(3));
    let mut has_errored = [false; 2];
    while has_errored.contains(&false) {
        let sent = host.place_request(UNSAFE);
        host.now += 0.001;
        match has_errored.get_mut(sent.endpoint.0 as usize) {
            Some(seen) => {
                *seen = true;
                host.end_attempt(sent, Outcome::Errored, LoadReport::default());
            }
            None => drop(host.serve(sent)),
        }
    }
    let mut placed = [0; 3];
    for _ in 0..12 {
        placed[host.place_request(UNSAFE).endpoint.0 as usize] += 1;
    }
    assert!(placed.iter().all(|count| *count > 1), "{placed:?}");
}

/// Regression: a server that never responds has no response times that would show it as slow.
#[test]
fn silence_counts_against_a_server() {
    let mut host = Host::new(settings(), fleet(3));
    for _ in 0..200 {
        host.request(UNSAFE);
        host.now += 0.01;
        // Servers 1 and 2 respond after 0.03 s, server 0 never does.
        for sent in host.in_flight.clone() {
            if sent.endpoint.0 > 0 && host.now - sent.sent_at >= 0.03 {
                host.serve(sent);
            }
        }
    }
    for _ in 0..9 {
        assert_ne!(host.place_request(UNSAFE).endpoint.0, 0, "{:?}", host.in_flight);
    }
}

#[test]
fn a_timeout_at_a_silent_server_counts_against_it() {
    let mut host = Host::new(settings(), fleet(2));
    report_once(&mut host, &[load_report(1.0, 0.0), load_report(1.0, 0.0)]);
    fail_twice(&mut host, UNSAFE, EndpointId(1), Outcome::TimedOut);
    for _ in 0..3 {
        assert_ne!(host.place_request(UNSAFE).endpoint.0, 1);
    }
}

/// Regression: attempts at a hung server are cancelled when a hedge wins, and the server then looks idle.
#[test]
fn a_cancelled_attempt_at_a_silent_server_counts_against_it() {
    let mut host = Host::new(settings(), fleet(4));
    fail_twice(&mut host, UNSAFE, EndpointId(1), Outcome::Cancelled);
    for _ in 0..3 {
        assert_ne!(host.place_request(UNSAFE).endpoint.0, 1);
    }
}
