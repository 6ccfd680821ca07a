//! Request classes that only some servers may run.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// A fleet of twelve servers, of which the last four are of the kind that `UNSAFE` is restricted to.
fn host_with_restricted_class() -> Host {
    let mut test_settings = settings();
    test_settings.machine_kinds = 2;
    test_settings.classes[UNSAFE.0].machine_kinds = Some(vec![MachineKindId(1)]);
    let kind =
        |entry: ListEntry| ListEntry { kind: MachineKindId(usize::from(entry.endpoint.0 >= 8)), ..entry };
    Host::new(test_settings, fleet(12).into_iter().map(kind).collect())
}

/// Regression: requests that may run anywhere displace those that are restricted to a few servers.
#[test]
fn unrestricted_work_leaves_reserved_servers_their_share() {
    for restricted in [0, 6] {
        let mut host = host_with_restricted_class();
        let mut to_reserved = 0;
        for index in 0..400 {
            let class = if index % 10 < restricted { UNSAFE } else { SAFE };
            let sent = host.place_request(class);
            to_reserved += usize::from(class == SAFE && index >= 200 && sent.endpoint.0 >= 8);
            host.now += 0.01;
            host.serve(sent);
        }
        // A third of the servers is reserved; 6 of 10 requests are restricted to them, or none.
        assert_eq!(
            to_reserved == 0,
            restricted == 6,
            "{to_reserved} unrestricted requests at reserved servers with {restricted} of 10 requests restricted"
        );
    }
}

/// Regression: crowded reserved servers look as idle as the rest of their zone, or the rest looks as crowded as they
/// are.
#[test]
fn loads_of_reserved_servers_are_tracked_separately() {
    let mut host = host_with_restricted_class();
    for endpoint in 0..3 {
        end_probe(&mut host, EndpointId(endpoint), 0.001, load_report(0.5, 0.0));
        end_probe(&mut host, EndpointId(8 + endpoint), 0.001, load_report(30.0, 29.0));
    }
    host.now += 5.0;
    let rejections = |host: &mut Host, class: ClassId| {
        let rejected = (0..40).filter(|_| {
            let (request, actions) = request_as_and_discard(host, class);
            is_rejected(&actions, request)
        });
        rejected.count()
    };
    let (restricted, other) = (rejections(&mut host, UNSAFE), rejections(&mut host, SAFE));
    assert!(restricted >= 30 && other <= 5, "{restricted} and {other} of 40 rejected");
}

/// Makes restricted requests in a fleet of six servers, the first two of which may run them. Ends each attempt with
/// `outcome` until no more follow, and returns the servers of all attempts.
fn send_restricted_requests(outcome: Outcome, restrict: impl Fn(&mut Class)) -> Vec<EndpointId> {
    let mut test_settings = settings();
    restrict(&mut test_settings.classes[SAFE.0]);
    let servers = fleet(6).into_iter().map(|entry| {
        let group = usize::from(entry.endpoint.0 >= 2);
        ListEntry { kind: MachineKindId(group), zone: ZoneId(group), ..entry }
    });
    let mut host = Host::new(test_settings, servers.collect());
    let mut sent = Vec::new();
    for _ in 0..40 {
        host.request(SAFE);
        host.advance(0.3);
        while let Some(attempt) = host.in_flight.first().copied() {
            sent.push(attempt.endpoint);
            host.end_attempt(attempt, outcome, load_report(50.0, 40.0));
        }
    }
    sent
}

/// Regression: a class that is restricted to some machines or zones runs elsewhere when those are unreachable, full or
/// failing.
#[test]
fn a_restricted_class_runs_only_on_its_servers() {
    for outcome in
        [Outcome::Served, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Errored, Outcome::TimedOut]
    {
        let by_kind =
            send_restricted_requests(outcome, |class| class.machine_kinds = Some(vec![MachineKindId(0)]));
        let by_zone = send_restricted_requests(outcome, |class| class.zones = Some(vec![ZoneId(0)]));
        for sent in [by_kind, by_zone] {
            assert!(!sent.is_empty(), "{outcome:?}");
            assert!(sent.iter().all(|endpoint| endpoint.0 < 2), "{outcome:?}: {sent:?}");
        }
        let both = |class: &mut Class| {
            class.machine_kinds = Some(vec![MachineKindId(0)]);
            class.zones = Some(vec![ZoneId(1)]);
        };
        assert!(send_restricted_requests(outcome, both).is_empty(), "no server is of that kind in that zone");
    }
}

#[test]
fn a_restricted_class_follows_the_list_and_is_rejected_while_no_server_may_run_it() {
    let mut test_settings = settings();
    test_settings.classes[SAFE.0].machine_kinds = Some(vec![MachineKindId(3)]);
    let mut host = Host::new(test_settings, fleet(3));
    let (request, actions) = host.request(SAFE);
    assert!(sent_endpoints(&actions).is_empty());
    assert!(is_rejected(&host.advance(2.1), request));
    host.update_entry(ListEntry { kind: MachineKindId(3), ..entry(1) });
    assert_eq!(host.place_request(SAFE).endpoint, EndpointId(1));
    host.update_entry(entry(1));
    let (request, actions) = host.request(SAFE);
    assert!(sent_endpoints(&actions).is_empty() && is_rejected(&host.advance(2.1), request));
}
