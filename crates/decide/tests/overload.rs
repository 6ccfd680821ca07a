//! An overloaded fleet gets less, and an idle one does not look overloaded.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: old reports show idle servers while responses take most of the latency target. A hundred proxies that go by
/// the reports, each with little traffic, would overload every server for good. What they send together has to fall within a
/// few requests each, the most valuable requests last, and to recover when responses are quick again.
#[test]
fn a_hundred_proxies_send_less_to_an_overloaded_fleet_within_a_few_requests() {
    let mut all = settings();
    all.classes[UNSAFE.0].value = 8.0;
    let mut hosts: Vec<Host> = (0..100).map(|seed| Host::seeded(all.clone(), fleet(6), seed)).collect();
    // Makes so many requests of each class at each proxy, served after `wait`; returns the fraction of each that was sent.
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
    assert!(healthy[0] > 0.95 && healthy[1] > 0.95, "of a healthy fleet's requests {healthy:?} are sent");
    serve_requests(5, 0.45, 0.1);
    let overloaded = serve_requests(5, 0.45, 0.1);
    assert!(
        overloaded[0] < 0.5 && overloaded[0] < overloaded[1] && overloaded[1] < 0.8,
        "{overloaded:?} are sent on"
    );
    serve_requests(30, 0.06, 2.0);
    let recovered = serve_requests(5, 0.06, 0.1);
    assert!(recovered[0] > 0.9 && recovered[1] > 0.9, "{recovered:?} are sent when it is recovered");
}

/// Regression: where a service takes much of the latency target, an idle fleet looks overloaded. Reliable reports are the
/// better evidence: servers that report no queue get their work.
#[test]
fn an_idle_fleet_with_long_service_times_is_not_overloaded() {
    let mut host = Host::new(settings(), fleet(6));
    let mut sent = 0;
    for index in 0..600 {
        // Reports are renewed all the time.
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
    assert!(sent >= 285, "of 300 requests {sent} are sent");
}

/// Regression: where servers drain or are in slow start, fewer get the same work, and responses show it only once these are
/// overloaded. The list shows it at once: the least valuable of a hundred proxies' requests are rejected before any response is
/// late.
#[test]
fn a_fleet_that_shrinks_by_the_list_gets_less_before_a_response_shows_it() {
    let mut all = settings();
    all.classes[UNSAFE.0].value = 8.0;
    let mut hosts: Vec<Host> = (0..100).map(|seed| Host::seeded(all.clone(), fleet(10), seed)).collect();
    // Makes so many requests of each class at each proxy, all served after the same time.
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
    assert!(healthy[0] > 0.95, "of a healthy fleet's requests {healthy:?} are sent");
    let drains = |index: u32| ListEntry { readiness: Readiness::Draining, ..entry(index) };
    hosts.iter_mut().for_each(|host| {
        _ = host.handle(Event::ListUpdated(ListUpdate::Changes((0..5).map(drains).collect())));
    });
    let fewer = serve_requests(&mut hosts, 2);
    assert!(fewer[0] < 0.8 && fewer[0] < fewer[1], "{fewer:?} are sent on to half of the servers");
    serve_requests(&mut hosts, 100);
    let usual = serve_requests(&mut hosts, 5);
    assert!(usual[0] > 0.95, "{usual:?} are sent once responses have shown that half of them can do it");
}
