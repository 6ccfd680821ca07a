//! Estimates of the load of servers from reports and responses.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: an old report that is repeated in each response must not hide the requests that were sent since.
#[test]
fn a_repeated_report_is_not_fresh() {
    let mut host = Host::new(settings(), fleet(2));
    report_once(&mut host, &[load_report(1.6, 0.0), load_report(2.3, 0.0)]);
    let attempts: Vec<SentAttempt> = (0..3).map(|_| host.place_request(UNSAFE)).collect();
    let busy = attempts.iter().filter(|sent| sent.endpoint.0 == 0).copied().collect::<Vec<_>>();
    host.now += 0.005;
    host.end_attempt(busy[0], Outcome::Served, load_report(1.6, 0.0));
    let next = host.place_request(UNSAFE);
    assert_eq!(next.endpoint.0, 0, "one response admits one request");
    assert_eq!(host.place_request(UNSAFE).endpoint.0, 1, "the other requests in flight still count");
}

/// Regression: servers are assumed to have one slot until a queue shows more. A fleet that never queues would always
/// look crowded, and requests would be rejected while it is idle.
#[test]
fn slots_are_learned_without_a_queue() {
    let mut host = Host::new(settings(), fleet(1));
    let mut rejections = 0;
    for index in 0..300 {
        let (request, actions) = host.request(UNSAFE);
        if is_rejected(&actions, request) {
            rejections += usize::from(index >= 60);
        } else {
            let sent = host.in_flight[host.in_flight.len() - 1];
            host.now += 0.1;
            host.end_attempt(sent, Outcome::Served, load_report(8.0 + f64::from(index % 3) / 10.0, 0.0));
        }
        host.now += 0.001;
    }
    assert_eq!(rejections, 0, "no request was ever queued");
}

/// Regression: if all responses are too late, every attempt is given up before its report arrives, and a proxy with
/// little traffic considers an overloaded zone idle.
#[test]
fn unanswered_attempts_raise_the_load_estimate_of_a_zone() {
    let mut host = Host::new(settings(), fleet(20));
    for _ in 0..6 {
        let (request, _) = host.request(UNSAFE);
        let Some(sent) = host.in_flight.last().copied().filter(|sent| sent.request == request) else {
            continue;
        };
        host.now += 0.6;
        host.end_attempt(sent, Outcome::TimedOut, LoadReport::default());
    }
    let rejections = (0..20).filter(|_| {
        let (request, actions) = host.request(UNSAFE);
        is_rejected(&actions, request)
    });
    assert!(rejections.count() > 8, "servers without a response are assumed to be crowded");
}

/// Regression: many proxies that reject requests until a report shows an idle server all send to that server.
#[test]
fn one_idle_report_in_an_overloaded_zone_admits_few_requests() {
    let mut host = Host::new(settings(), fleet(2));
    let sent: Vec<SentAttempt> = (0..4).map(|_| host.place_request(UNSAFE)).collect();
    for (index, sent) in sent.iter().enumerate() {
        host.now += 0.1;
        host.end_attempt(*sent, Outcome::Served, load_report(24.0 + index as f64, 23.0));
    }
    end_probe(&mut host, sent[3].endpoint, 0.001, load_report(0.0, 0.0));
    let rejections = (0..20).filter(|_| {
        let (request, actions) = request_and_discard(&mut host);
        is_rejected(&actions, request)
    });
    assert!(rejections.count() > 8, "the load of the rest of the zone outweighs one report");
}

/// Regression: an idle server's report never changes. If it then counted as stale, the server would look as crowded as
/// the others.
#[test]
fn a_repeated_report_of_an_idle_server_is_accepted() {
    let mut host = Host::new(settings(), fleet(2));
    report_once(&mut host, &[load_report(0.0, 0.0), load_report(3.0, 2.0)]);
    host.now += 30.0;
    let sent = place_request_at(&mut host, EndpointId(0));
    host.end_attempt(sent, Outcome::Served, load_report(0.0, 0.0));
    let idle = (0..20).filter(|_| {
        let sent = host.place_request(UNSAFE);
        host.end_attempt(sent, Outcome::Cancelled, LoadReport::default());
        sent.endpoint.0 == 0
    });
    assert_eq!(idle.count(), 20, "a fresh report of an idle server against the typical load of the other");
}

/// Makes requests until one is sent to `endpoint`; attempts at other servers end as not sent.
fn place_request_at(host: &mut Host, endpoint: EndpointId) -> SentAttempt {
    loop {
        let sent = host.place_request(UNSAFE);
        if sent.endpoint == endpoint {
            return sent;
        }
        host.end_attempt(sent, Outcome::NotSent, LoadReport::default());
    }
}

#[test]
fn out_of_range_reports_do_not_disturb_the_choice() {
    let mut host = Host::new(settings(), fleet(3));
    let absurd = [f64::NAN, f64::INFINITY, -5.0, 1e300, f64::MAX];
    for index in 0..400 {
        let (_, actions) = host.request(SAFE);
        assert!(sent_endpoints(&actions).len() <= 1);
        host.now += 0.01;
        let value = if index % 8 == 0 { absurd[index / 8 % 5] } else { 1.0 + (index % 7) as f64 / 10.0 };
        for sent in host.in_flight.clone() {
            host.end_attempt(sent, Outcome::Served, load_report(value, value / 2.0));
        }
        host.now += if index % 50 == 0 { 1000.0 } else { 0.0 };
    }
    host.now += 10.0;
    report_once(&mut host, &[load_report(3.0, 0.0), load_report(1.0, 0.0), load_report(3.1, 0.0)]);
    let lower = (0..40).filter(|_| {
        let sent = host.place_request(SAFE);
        host.serve(sent);
        sent.endpoint.0 == 1
    });
    let lower = lower.count();
    assert!((22..=32).contains(&lower), "{lower} of 40 requests to the least loaded of three");
}

/// Regression: few requests are already a high load for a slow-starting server; other servers must not look as crowded.
#[test]
fn load_of_slow_starting_servers_does_not_affect_others() {
    let mut host = Host::new(settings(), fleet(8));
    for endpoint in 4..8 {
        host.update_entry(ListEntry { started_at: Some(host.now), ..entry(endpoint) });
        end_probe(&mut host, EndpointId(endpoint), 0.001, load_report(3.0, 2.0));
    }
    let admitted = (0..20).filter(|_| {
        let (request, actions) = request_and_discard(&mut host);
        !is_rejected(&actions, request)
    });
    assert!(admitted.count() >= 18);
}

/// Regression: if fresh reports had the low weight of old ones, the choice would be random; if old ones had the weight
/// of fresh ones, all proxies would choose the same server.
#[test]
fn frequently_renewed_reports_weigh_more() {
    for (renewed, expected) in [(true, 3), (false, 2)] {
        let mut test_settings = settings();
        test_settings.classes.iter_mut().for_each(|class| class.latency_target = 2.0);
        let mut host = Host::new(test_settings, fleet(2));
        let report_load = |host: &mut Host, endpoint: u32, in_flight: f64| {
            end_probe(host, EndpointId(endpoint), 0.001, load_report(in_flight, 0.0));
        };
        for index in 0..100 {
            host.now += 0.01;
            let step = if renewed { f64::from(index % 2) } else { 0.0 };
            (0..2).for_each(|endpoint| report_load(&mut host, endpoint, 2.0 + step));
        }
        host.now += 0.01;
        report_load(&mut host, 0, 4.1);
        report_load(&mut host, 1, 1.1);
        for _ in 0..3 {
            host.request(SAFE);
        }
        let to_lower = host.in_flight.iter().filter(|sent| sent.endpoint == EndpointId(1)).count();
        assert_eq!(to_lower, expected, "renewed: {renewed}");
    }
}
