//! An overloaded fleet gets fewer requests, and an idle fleet does not look overloaded.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: old reports show idle servers while responses take most of the latency target. A hundred proxies with
/// little traffic each that trust these reports would keep every server overloaded. Within a few requests per proxy,
/// the traffic has to fall, least valuable requests first, and it has to recover once responses are fast again.
#[test]
fn a_hundred_proxies_send_less_to_an_overloaded_fleet_within_a_few_requests() {
    let mut test_settings = settings();
    test_settings.classes[UNSAFE.0].value = 8.0;
    let mut hosts: Vec<Host> =
        (0..100).map(|seed| Host::seeded(test_settings.clone(), fleet(6), seed)).collect();
    // Makes `requests` requests of each class at each proxy, served after `wait`; returns the fraction sent by class.
    let mut serve_requests = |requests: usize, wait: Seconds, gap: Seconds| {
        let mut sent = [0.0; 2];
        for host in &mut hosts {
            for class in [SAFE, UNSAFE].repeat(requests) {
                host.request(class);
                sent[class.0] += host.in_flight.len().min(1) as f64 / (requests * 100) as f64;
                host.now += wait;
                for (index, sent) in std::mem::take(&mut host.in_flight).into_iter().enumerate() {
                    host.end_attempt(sent, Outcome::Served, load_report(1.0 + 0.1 * index as f64, 0.0));
                }
                host.now += gap;
            }
        }
        sent
    };
    let healthy = serve_requests(5, 0.06, 0.1);
    assert!(healthy[0] > 0.95 && healthy[1] > 0.95, "fractions sent to a healthy fleet: {healthy:?}");
    serve_requests(5, 0.45, 0.1);
    let overloaded = serve_requests(5, 0.45, 0.1);
    assert!(
        overloaded[0] < 0.5 && overloaded[0] < overloaded[1] && overloaded[1] < 0.8,
        "fractions sent to an overloaded fleet: {overloaded:?}"
    );
    serve_requests(30, 0.06, 2.0);
    let recovered = serve_requests(5, 0.06, 0.1);
    assert!(recovered[0] > 0.9 && recovered[1] > 0.9, "fractions sent after the recovery: {recovered:?}");
}

/// Regression: if the service time is a large part of the latency target, an idle fleet looks overloaded. Reliable
/// reports are better evidence: servers that report no queue keep getting requests.
#[test]
fn an_idle_fleet_with_long_service_times_is_not_overloaded() {
    let mut host = Host::new(settings(), fleet(6));
    let mut sent = 0;
    for index in 0..600 {
        // Reports are renewed every 2 ms.
        for step in 0..10 {
            host.now += 0.002;
            for server in 0..6 {
                let (outcome, rtt, report) = (Outcome::Served, 0.001, load_report(f64::from(step % 2), 0.0));
                host.handle(Event::ProbeEnded { endpoint: EndpointId(server), outcome, rtt, report });
            }
        }
        host.request(SAFE);
        host.now += 0.2;
        for attempt in std::mem::take(&mut host.in_flight) {
            sent += usize::from(index >= 300);
            host.end_attempt(attempt, Outcome::Served, load_report(0.0, 0.0));
        }
    }
    assert!(sent >= 285, "{sent} of 300 requests sent");
}

/// Regression: when servers drain or are in slow start, fewer servers get the same work, and responses show this only
/// once they are overloaded. The list shows it at once, so the least valuable requests of a hundred proxies have to be
/// rejected before any response is late.
#[test]
fn a_list_update_that_removes_capacity_reduces_load_before_responses_are_late() {
    let mut test_settings = settings();
    test_settings.classes[UNSAFE.0].value = 8.0;
    let mut hosts: Vec<Host> =
        (0..100).map(|seed| Host::seeded(test_settings.clone(), fleet(10), seed)).collect();
    // Makes `requests` requests of each class at each proxy, all served after the same time.
    let serve_requests = |hosts: &mut [Host], requests: usize| {
        let mut sent = [0.0; 2];
        for host in hosts {
            for class in [SAFE, UNSAFE].repeat(requests) {
                host.request(class);
                sent[class.0] += host.in_flight.len().min(1) as f64 / (requests * 100) as f64;
                host.now += 0.11;
                for attempt in std::mem::take(&mut host.in_flight) {
                    host.end_attempt(attempt, Outcome::Served, load_report(1.0, 0.0));
                }
                host.now += 0.1;
            }
        }
        sent
    };
    let healthy = serve_requests(&mut hosts, 20);
    assert!(healthy[0] > 0.95, "fractions sent to a healthy fleet: {healthy:?}");
    let drains = |index: u32| ListEntry { readiness: Readiness::Draining, ..entry(index) };
    hosts.iter_mut().for_each(|host| {
        _ = host.handle(Event::ListUpdated(ListUpdate::Changes((0..5).map(drains).collect())));
    });
    let fewer = serve_requests(&mut hosts, 2);
    assert!(fewer[0] < 0.8 && fewer[0] < fewer[1], "fractions sent to half of the servers: {fewer:?}");
    serve_requests(&mut hosts, 100);
    let recovered = serve_requests(&mut hosts, 5);
    assert!(
        recovered[0] > 0.95,
        "fractions sent once responses have shown that half of the servers suffice: {recovered:?}"
    );
}
