//! Selection of the server for a request.

mod common;
use common::*;
use mosshead_decide::interface::*;

#[test]
fn the_less_loaded_of_the_pair_gets_the_request() {
    let mut host = Host::new(settings(), fleet(2));
    report_once(&mut host, &[load_report(16.0, 2.0), load_report(1.0, 0.0)]);
    let first: Vec<u32> = (0..3).map(|_| host.place_request(SAFE).endpoint.0).collect();
    assert_eq!(first, [1, 1, 1]);
}

#[test]
fn own_attempts_count_before_any_report_and_ties_are_broken_at_random() {
    let mut host = Host::new(settings(), fleet(2));
    let mut placed = [0; 2];
    for _ in 0..8 {
        placed[host.place_request(UNSAFE).endpoint.0 as usize] += 1;
    }
    assert_eq!(placed, [4, 4], "each attempt raises the load of its server");
    let mut host = Host::new(settings(), fleet(2));
    let ties = count_requests(&mut host, 200, 2);
    assert!(ties.iter().all(|count| (60..140).contains(count)), "{ties:?}");
}

#[test]
fn the_choice_is_between_two_servers_not_all() {
    let mut host = Host::new(settings(), fleet(4));
    let counts = count_requests(&mut host, 400, 4);
    assert!(counts.iter().all(|count| *count > 40), "{counts:?}");
    report_once(
        &mut host,
        &[load_report(0.0, 0.0), load_report(3.0, 0.0), load_report(3.0, 0.0), load_report(3.0, 0.0)],
    );
    let mut first = 0;
    for _ in 0..40 {
        let mut again = Host::new(settings(), fleet(4));
        again.balancer = host.balancer.clone();
        again.now = host.now;
        first += usize::from(again.place_request(SAFE).endpoint.0 == 0);
        let sent = host.place_request(UNSAFE);
        host.serve(sent);
    }
    assert!(
        (8..36).contains(&first),
        "the least loaded of four gets {first} of 40 requests, not all of them"
    );
}

#[test]
fn a_single_ready_server_gets_the_request() {
    let mut host = Host::new(settings(), fleet(1));
    assert_eq!(host.place_request(UNSAFE).endpoint, EndpointId(0));
}

/// Regression: equal numbers of requests would overload the smaller server.
#[test]
fn load_is_divided_by_the_registered_size() {
    let servers = vec![ListEntry { weight: 3.0, ..entry(0) }, entry(1)];
    let mut host = Host::new(settings(), servers.clone());
    let placed: Vec<u32> = (0..6).map(|_| host.place_request(UNSAFE).endpoint.0).collect();
    assert!((4..=5).contains(&placed.iter().filter(|server| **server == 0).count()), "{placed:?}");
    let mut host = Host::new(Settings { weights: Weights::Unused, ..settings() }, servers);
    let placed: Vec<u32> = (0..6).map(|_| host.place_request(UNSAFE).endpoint.0).collect();
    assert_eq!(placed.iter().filter(|server| **server == 0).count(), 3);
}

fn two_zones() -> Vec<ListEntry> {
    fleet(4)
        .into_iter()
        .map(|entry| ListEntry { zone: ZoneId(entry.endpoint.0 as usize / 2), ..entry })
        .collect()
}

/// Regression: if the pair were drawn from the proxy's own zone first, the proxies of a crowded zone would overload its
/// servers while others are idle.
#[test]
fn the_pair_is_drawn_from_all_zones() {
    let mut host = Host::new(settings(), two_zones());
    let placed = count_requests(&mut host, 200, 4);
    assert!(placed.iter().all(|count| *count > 25), "{placed:?}");
}

#[test]
fn requests_go_to_the_other_zone_without_a_local_server() {
    let mut host = Host::new(settings(), two_zones());
    host.handle(Event::ListUpdated(ListUpdate::Full(two_zones().split_off(2))));
    assert!(host.place_request(UNSAFE).endpoint.0 >= 2);
}

/// Regression: a proxy with little traffic that used every server would keep a connection to each of them, and have
/// recent reports of none.
#[test]
fn a_proxy_with_little_traffic_uses_few_servers_and_a_busy_one_all() {
    let used = |gap: Seconds| {
        let mut host = Host::new(settings(), fleet(40));
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..400 {
            let sent = host.place_request(SAFE);
            used.insert(sent.endpoint);
            host.now += gap.min(0.05);
            host.serve(sent);
            host.now += gap - gap.min(0.05);
        }
        used.len()
    };
    assert_eq!(used(2.0), 3);
    assert_eq!(used(0.005), 40);
}

/// Regression: if most servers of the proxy's subset fail, other servers of the fleet must replace them.
#[test]
fn other_servers_replace_failed_ones_of_the_subset() {
    let mut host = Host::new(settings(), fleet(40));
    let mut has_failed = Vec::new();
    while has_failed.len() < 3 {
        let server = host.place_request(UNSAFE).endpoint;
        fail_twice(&mut host, UNSAFE, server, Outcome::Reset);
        has_failed.push(server);
    }
    for _ in 0..20 {
        let sent = host.place_request(UNSAFE);
        assert!(!has_failed.contains(&sent.endpoint));
        host.now += 0.05;
        host.serve(sent);
    }
}
