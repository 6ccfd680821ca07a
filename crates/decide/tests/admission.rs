//! Admission of requests by queue, price, value and tenant.

mod common;
use common::*;
use mosshead_decide::interface::*;

/// Regression: a queue can exceed the latency target before the first late response arrives.
#[test]
fn a_queue_longer_than_the_latency_target_rejects_at_once() {
    let mut host = Host::new(settings(), fleet(1));
    let mut rejections = 0;
    for _ in 0..60 {
        let (request, actions) = host.request(UNSAFE);
        rejections += usize::from(is_rejected(&actions, request));
    }
    assert!((25..=55).contains(&rejections), "{rejections} of 60 rejected");
    assert!(host.in_flight.len() < 35, "{} in flight", host.in_flight.len());
}

/// Regression: full servers reject requests of any value, so no response is ever late that would raise the price.
#[test]
fn rejections_by_crowded_servers_raise_the_price() {
    let mut host = Host::new(settings(), fleet(1));
    let mut rejections = 0;
    for _ in 0..60 {
        (0..3).for_each(|_| drop(host.request(SAFE)));
        let others = host.in_flight.clone();
        let (request, _) = host.request(SAFE);
        while let Some(sent) = host.in_flight.iter().copied().find(|sent| sent.request == request) {
            host.end_attempt(sent, Outcome::Rejected, LoadReport::default());
        }
        host.now += 0.05;
        for sent in others {
            host.serve(sent);
        }
        host.now += 0.5;
        for _ in 0..4 {
            let (request, actions) = host.request(SAFE);
            rejections += usize::from(is_rejected(&actions, request));
        }
        for sent in host.in_flight.clone() {
            host.end_attempt(sent, Outcome::NotSent, LoadReport::default());
        }
        host.now += 0.5;
    }
    assert!(rejections >= 40, "{rejections} of 240 rejected");
}

/// Regression: the limit on queueing rejects valuable and cheap requests alike, and prevents the late responses that
/// would raise the price.
#[test]
fn cheap_requests_are_rejected_first_under_lasting_overload() {
    let mut settings = settings();
    settings.classes[1].value = 4.0;
    settings.classes.iter_mut().for_each(|class| class.late_value = 0.0);
    let mut host = Host::new(settings, fleet(1));
    let mut rejections = [0_i32; 2];
    for index in 0..3000 {
        let class = index % 2;
        let (request, actions) = host.request([SAFE, UNSAFE][class]);
        rejections[class] += i32::from(index >= 1000 && is_rejected(&actions, request));
        // Requests are served one at a time, 0.05 s each, which suffices for half of them.
        if index % 2 == 1
            && let Some(&sent) = host.in_flight.first()
        {
            host.serve(sent);
        }
        host.now += 0.025;
    }
    let [cheap, valuable] = rejections;
    assert!((900..1100).contains(&(cheap + valuable)), "{rejections:?} rejected of 1000 each");
    let odds = |rejected: i32| f64::from(rejected) / f64::from(1000 - rejected);
    assert!(odds(cheap) > 3.0 * odds(valuable), "{rejections:?} rejected of 1000 each");
}

/// Regression: a price that rose in a burst stays high, since it rejects the requests whose responses would lower it.
#[test]
fn rejecting_at_short_queues_lowers_the_price() {
    let mut host = Host::new(settings(), fleet(1));
    let count_rejections = |host: &mut Host, count: usize| {
        (0..count).filter(|_| matches!(host.request(UNSAFE).1[..], [Action::Reject { .. }])).count()
    };
    let rejected_in_burst = count_rejections(&mut host, 400);
    assert!(rejected_in_burst > 350, "{rejected_in_burst} of 400 rejected in the burst");
    while host.in_flight.len() > 1 {
        let sent = host.in_flight[0];
        host.end_attempt(sent, Outcome::NotSent, LoadReport::default());
    }
    host.now += 0.3;
    let mut rejected_later = 0;
    for index in 0..200 {
        let kept = host.in_flight.len();
        rejected_later += count_rejections(&mut host, 1) * usize::from(index >= 100);
        if host.in_flight.len() > kept {
            let sent = host.in_flight[kept];
            host.end_attempt(sent, Outcome::NotSent, LoadReport::default());
        }
    }
    assert!(rejected_later < 45, "{rejected_later} of 100 rejected at a short queue afterwards");
}

/// Regression: a client's last attempt may have more time left than another client's first one. A first attempt that is
/// taken for a late retry is rejected, as its latency target seems to have expired.
#[test]
fn a_first_attempt_is_recognized_by_the_usual_time_left() {
    let mut host = Host::new(settings(), fleet(1));
    let mut rejections = [0; 2];
    for index in 0..100 {
        host.request(SAFE);
        let others = host.in_flight.clone();
        // A first attempt, and a retry 0.5 s after its client's first attempt, which was not served.
        for (which, time_left) in [(0, 0.9), (1, 1.5 - f64::from(index % 3) / 200.0)] {
            let (request, actions) = host.request_as(UNSAFE, None, time_left);
            rejections[which] += usize::from(is_rejected(&actions, request));
            for sent in host.in_flight.clone() {
                if sent.request == request {
                    host.end_attempt(sent, Outcome::NotSent, LoadReport::default());
                }
            }
        }
        host.now += 0.05;
        for sent in others {
            host.serve(sent);
        }
        host.now += 0.2;
    }
    assert!(rejections[0] <= 5, "{rejections:?} of 100 first and last attempts rejected");
    assert!(rejections[1] >= 90, "{rejections:?} of 100 first and last attempts rejected");
}

/// Regression: a client with a shorter timeout than others was taken for one that retries late, and rejected at once.
#[test]
fn a_client_with_a_short_timeout_is_not_taken_for_a_late_retry() {
    let mut test_settings = settings();
    test_settings.classes[SAFE.0].late_value = 0.0;
    let mut host = Host::new(test_settings, fleet(6));
    let mut rejections = 0;
    for index in 0..200 {
        let time_left = if index < 100 || index % 2 == 0 { 1.9 } else { 0.2 + f64::from(index % 7) / 100.0 };
        let (request, actions) = host.request_as(SAFE, None, time_left);
        rejections += usize::from(is_rejected(&actions, request));
        host.now += 0.05;
        std::mem::take(&mut host.in_flight).into_iter().for_each(|sent| drop(host.serve(sent)));
        host.now += 0.05;
    }
    assert!(rejections < 10, "{rejections} of 200 rejected");
}

/// Regression: requests also miss their latency target at slow servers, which does not indicate overload.
#[test]
fn misses_at_idle_servers_reject_nothing() {
    let mut host = Host::new(settings(), fleet(4));
    for index in 0..200 {
        let sent = host.place_request(if index % 5 == 0 { UNSAFE } else { SAFE });
        host.now += if index % 5 == 0 { 0.55 } else { 0.005 };
        host.serve(sent);
    }
    let placed: Vec<SentAttempt> = (0..8).map(|_| host.place_request(UNSAFE)).collect();
    assert_eq!(placed.len(), 8, "a short queue must not cause rejections");
}

/// Regression: one tenant's excess of requests takes the capacity of all others.
#[test]
fn a_tenant_beyond_its_share_is_rejected_first() {
    let tenants = vec![Tenant { share: 0.5 }, Tenant { share: 0.5 }];
    let mut host = Host::new(Settings { tenants, ..settings() }, fleet(2));
    let mut rejections = [0.0; 2];
    let mut requests = [0.0; 2];
    for index in 0..2000 {
        let tenant = usize::from(index % 8 == 0);
        let (request, actions) = host.request_as(UNSAFE, Some(TenantId(tenant)), 2.0);
        requests[tenant] += 1.0;
        rejections[tenant] += f64::from(u8::from(is_rejected(&actions, request)));
        host.now += 0.01;
        // The fleet is overloaded: only every third step brings a response.
        if index % 3 == 0 && !host.in_flight.is_empty() {
            let sent = host.in_flight[0];
            host.serve(sent);
        }
    }
    let (flooding, other) = (rejections[0] / requests[0], rejections[1] / requests[1]);
    assert!(
        flooding > other + 0.1,
        "rejected: {flooding:.2} of the flooding tenant, {other:.2} of the other"
    );
}

/// Regression: a proxy that rejects because of one old report of a busy server gets no new report and keeps rejecting.
#[test]
fn a_rejecting_proxy_learns_when_queues_have_cleared() {
    let mut host = Host::new(settings(), fleet(20));
    let sent = host.place_request(UNSAFE);
    host.end_attempt(sent, Outcome::Served, load_report(60.0, 59.0));
    let is_next_rejected = |host: &mut Host| {
        host.now += 0.05;
        let (request, actions) = host.request(UNSAFE);
        let sent = host.in_flight.last().copied().filter(|sent| sent.request == request);
        sent.map(|sent| host.end_attempt(sent, Outcome::Served, load_report(1.0, 0.0)));
        is_rejected(&actions, request)
    };
    assert!((0..10).all(|_| is_next_rejected(&mut host)), "the last report shows a queue");
    host.now += 4.0;
    assert!(!(0..200).all(|_| is_next_rejected(&mut host)), "some are admitted as trials");
    let last = (0..20).filter(|_| is_next_rejected(&mut host)).count();
    assert!(last < 4, "then nearly all are admitted: {last} of 20 rejected");
}

/// Regression: clients that are rejected together and asked to wait for the same time retry together.
#[test]
fn a_rejection_says_when_to_retry_within_the_limit_and_spread() {
    for limit in [0.2, 0.05] {
        let mut test_settings = settings();
        test_settings.limits.max_retry_after = limit;
        let mut host = Host::new(test_settings, fleet(1));
        for _ in 0..200 {
            host.request(UNSAFE);
        }
        let advice = host.actions.iter().filter_map(|action| match action {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let waits: Vec<f64> = advice.collect();
        assert!(waits.len() > 100 && waits.iter().all(|wait| (0.0..=limit).contains(wait)));
        let early = waits.iter().filter(|wait| **wait < limit).count();
        assert!(early > 10, "{early} of {} waits are under the limit", waits.len());
    }
}
