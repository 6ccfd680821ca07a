//! The limit of concurrent attempts at a server.

mod common;
use common::*;
use mosshead_decide::interface::*;
use rstest::rstest;

/// Regression: after a part of the fleet has failed, the other servers get more than they can answer in time, and stay
/// overloaded unless they get less. A request that no server has room for is rejected at once.
#[test]
fn late_responses_reduce_the_concurrency_limit() {
    let mut test_settings = settings();
    test_settings.classes[SAFE.0].latency_target = 0.1;
    // With this target only the concurrency limit can reject requests.
    test_settings.classes[UNSAFE.0].latency_target = 100.0;
    test_settings.classes[UNSAFE.0].deadline = 100.0;
    let mut host = Host::new(test_settings, fleet(1));
    let mut serve_after = |wait: Seconds| {
        let requests: Vec<RequestId> = (0..40).map(|_| host.request_as(UNSAFE, None, 100.0).0).collect();
        let sent: Vec<SentAttempt> = std::mem::take(&mut host.in_flight);
        let rejections = requests.iter().filter(|request| is_rejected(&host.actions, **request)).count();
        assert_eq!(sent.len() + rejections, 40, "each is sent or rejected at once");
        host.now += wait;
        sent.iter().for_each(|sent| drop(host.serve(*sent)));
        sent.len()
    };
    let after_timely = (0..200).map(|_| serve_after(0.05)).last();
    assert!(after_timely > Some(10), "{after_timely:?} sent at once after timely responses");
    let after_late = (0..12).map(|_| serve_after(0.15)).last();
    assert!(after_late <= Some(2), "{after_late:?} sent at once after late responses");
    let after_timely = (0..200).map(|_| serve_after(0.05)).last();
    assert!(after_timely > Some(10), "{after_timely:?} sent at once after timely responses");
}

/// Regression: if each of many proxies that start together began with a full concurrency limit, a server would get a
/// multiple of what it can serve.
#[rstest]
// In these two cases the price of work rejects requests beyond six at once.
#[case::zero(0.0, 6)]
#[case::one(1.0, 6)]
#[case::six(6.0, 2)]
#[case::hundred(100.0, 1)]
fn an_unknown_server_gets_a_part_of_the_fleets_initial_concurrency(
    #[case] proxies: f64,
    #[case] limit: usize,
) {
    let mut test_settings = settings();
    test_settings.proxy_count = proxies;
    test_settings.classes[UNSAFE.0].latency_target = 100.0;
    test_settings.classes[UNSAFE.0].deadline = 100.0;
    let mut host = Host::new(test_settings, fleet(1));
    let sent = |host: &mut Host| {
        (0..40).for_each(|_| _ = host.request_as(UNSAFE, None, 100.0));
        std::mem::take(&mut host.in_flight)
    };
    let first = sent(&mut host);
    assert_eq!(first.len(), limit);
    // Timely responses raise the limit.
    host.now += 0.01;
    first.iter().for_each(|sent| drop(host.serve(*sent)));
    assert!(sent(&mut host).len() >= limit);
}
