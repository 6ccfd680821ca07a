//! Probes of pairs with stale reports.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: a proxy with little traffic has no recent report of most servers, and would choose at random.
#[test]
fn a_stale_pair_is_probed_and_the_less_loaded_one_gets_the_request() {
    let mut host = Host::new(settings_with_probes(0.01), fleet(9));
    let (request, actions) = host.request(SAFE);
    let pair = probed_endpoints(&actions);
    assert!(pair.len() == 2 && pair[0] != pair[1] && sent_endpoints(&actions).is_empty(), "{actions:?}");
    assert!(
        sent_endpoints(&end_probe(&mut host, pair[0], 0.001, load_report(3.0, 2.0))).is_empty(),
        "the request waits for both probes"
    );
    assert_eq!(sent_endpoints(&end_probe(&mut host, pair[1], 0.001, load_report(1.0, 0.0))), [pair[1]]);
    assert!(!is_rejected(&host.actions, request));
    let (_, actions) = Host::new(settings_with_probes(0.1), fleet(9)).request(SAFE);
    assert!(
        probed_endpoints(&actions).is_empty() && sent_endpoints(&actions).len() == 1,
        "probes are too expensive: {actions:?}"
    );
}

/// A host with servers in two zones whose reports are renewed several times in a mean service time.
fn host_with_fresh_reports(settings: Settings) -> Host {
    let zoned = |index: u32| ListEntry { zone: ZoneId(index as usize % 2), ..entry(index) };
    let mut host = Host::new(settings, (0..10).map(zoned).collect());
    for index in 0..100 {
        host.now += 0.004;
        for server in 0..10 {
            end_probe(&mut host, EndpointId(server), 0.001, load_report(1.0 + f64::from(index % 2), 0.0));
        }
    }
    host.now += 2.0;
    host
}

/// Regression: with servers of one slot, even the less loaded server of a pair often has a queue while another server
/// is idle. With reliable reports the more loaded one is replaced until an idle one is found or enough have been
/// probed.
#[test]
fn the_more_loaded_of_a_crowded_pair_is_replaced_where_reports_are_reliable() {
    let mut host = host_with_fresh_reports(settings_with_probes(0.001));
    let (_, actions) = host.request(SAFE);
    let pair = probed_endpoints(&actions);
    assert_eq!(pair.len(), 2, "{actions:?}");
    assert!(probed_endpoints(&end_probe(&mut host, pair[0], 0.001, load_report(3.0, 2.0))).is_empty());
    let third = probed_endpoints(&end_probe(&mut host, pair[1], 0.001, load_report(4.0, 3.0)));
    assert!(third.len() == 1 && !pair.contains(&third[0]), "another one is probed: {third:?}");
    let fourth = probed_endpoints(&end_probe(&mut host, third[0], 0.001, load_report(5.0, 4.0)));
    assert!(fourth.len() == 1 && !pair.contains(&fourth[0]) && fourth != third, "{fourth:?}");
    let fifth = probed_endpoints(&end_probe(&mut host, fourth[0], 0.001, load_report(5.0, 4.0)));
    let actions = end_probe(&mut host, fifth[0], 0.001, load_report(5.0, 4.0));
    assert!(probed_endpoints(&actions).is_empty(), "at most five servers are probed");
    assert_eq!(sent_endpoints(&actions), [pair[0]], "the least loaded server stayed in each pair");

    // An idle server ends the search, and without reliable reports only the pair is probed.
    let mut host = host_with_fresh_reports(settings_with_probes(0.001));
    let pair = probed_endpoints(&host.request(SAFE).1);
    end_probe(&mut host, pair[0], 0.001, load_report(3.0, 2.0));
    assert_eq!(sent_endpoints(&end_probe(&mut host, pair[1], 0.001, load_report(0.0, 0.0))), [pair[1]]);
    let mut host = Host::new(settings_with_probes(0.001), fleet(9));
    let pair = probed_endpoints(&host.request(SAFE).1);
    let actions = pair.iter().map(|&server| end_probe(&mut host, server, 0.001, load_report(5.0, 4.0)));
    assert!(actions.flat_map(|actions| probed_endpoints(&actions)).next().is_none());
}

/// Regression: a probe that never ends must not keep its request from being sent.
#[test]
fn a_request_waits_for_probes_for_a_fraction_of_its_latency_target() {
    let mut host = Host::new(settings_with_probes(0.01), fleet(9));
    let (_, actions) = host.request(SAFE);
    assert_eq!(probed_endpoints(&actions).len(), 2);
    assert_eq!(sent_endpoints(&host.advance(0.05)).len(), 1);
}

/// Regression: a request with a few milliseconds left must not wait for probes beyond its deadline.
#[test]
fn a_request_with_hardly_any_time_left_does_not_wait_for_probes() {
    for ticks in 1..8 {
        let mut host = Host::new(settings_with_probes(0.01), fleet(9));
        let left = f64::from(ticks) * 0.005 + 0.001;
        let end = host.now + left;
        let (request, _) = host.request_as(SAFE, None, left);
        while host.now < end {
            host.advance(0.005);
        }
        let sent = host.in_flight.iter().any(|sent| sent.request == request && sent.sent_at < end);
        assert!(sent || is_rejected(&host.actions, request), "{ticks} ticks: neither sent nor answered");
        assert!(
            is_rejected(&host.actions, request) || has_failed(&host.actions, request),
            "{ticks} ticks: no answer"
        );
    }
}

/// Regression: probes that queue like requests displace the requests that they are sent for.
#[test]
fn probes_pause_when_one_is_slow() {
    let mut host = Host::new(settings_with_probes(0.01), fleet(9));
    let (_, actions) = host.request(SAFE);
    probed_endpoints(&actions)
        .iter()
        .for_each(|&server| drop(end_probe(&mut host, server, 0.1, load_report(1.0, 0.0))));
    assert!(probed_endpoints(&host.request(SAFE).1).is_empty(), "probes are paused");
    host.now += 8.1;
    assert_eq!(probed_endpoints(&host.request(SAFE).1).len(), 2, "probes are sent again after the pause");
}

/// Regression: a proxy with little traffic that uses only few servers may find all of them crowded while others are
/// idle. With reliable reports any server can be in the pair.
#[test]
fn where_reports_are_reliable_a_proxy_with_little_traffic_probes_any_server() {
    let mut host = host_with_fresh_reports(settings_with_probes(0.001));
    let mut probed = std::collections::BTreeSet::new();
    for _ in 0..60 {
        host.now += 3.0;
        let pair = probed_endpoints(&host.request(SAFE).1);
        probed.extend(pair.iter().map(|server| server.0));
        pair.into_iter().for_each(|server| drop(end_probe(&mut host, server, 0.001, load_report(0.0, 0.0))));
        std::mem::take(&mut host.in_flight).into_iter().for_each(|sent| drop(host.serve(sent)));
    }
    assert_eq!(probed.len(), 10, "{probed:?}");
}
