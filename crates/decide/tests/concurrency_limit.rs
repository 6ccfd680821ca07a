//! How many attempts a server may have at once.

mod common;
use common::*;
use mosshead_decide::interface::*;
use rstest::rstest;

/// Regression: with a part of the fleet gone the others get more than they answer in time; they are overloaded, and stay so while
/// they get as much as before. A request without a free place is rejected at once.
#[test]
fn late_responses_reduce_the_concurrency_limit() {
    let mut all = settings();
    all.classes[SAFE.0].latency_target = 0.1;
    // Nothing but the limit can reject these.
    all.classes[UNSAFE.0].latency_target = 100.0;
    all.classes[UNSAFE.0].deadline = 100.0;
    let mut host = Host::new(all, fleet(1));
    let mut serve_after = |wait: Seconds| {
        let requests: Vec<RequestId> = (0..40).map(|_| host.request_as(UNSAFE, None, 100.0).0).collect();
        let sent: Vec<SentAttempt> = std::mem::take(&mut host.in_flight);
        let rejections = requests.iter().filter(|request| is_rejected(&host.actions, **request)).count();
        assert_eq!(sent.len() + rejections, 40, "each is sent or rejected at once");
        host.now += wait;
        sent.iter().for_each(|sent| drop(host.serve(*sent)));
        sent.len()
    };
    let soon = (0..200).map(|_| serve_after(0.05)).last();
    assert!(soon > Some(10), "{soon:?} at once");
    let late = (0..12).map(|_| serve_after(0.15)).last();
    assert!(late <= Some(2), "{late:?} at once");
    let soon = (0..200).map(|_| serve_after(0.05)).last();
    assert!(soon > Some(10), "{soon:?} at once");
}

/// Regression: proxies that start together know nothing; if each began with a full concurrency limit, a
/// server would get many times what it can serve.
#[rstest]
// Beyond six at once the price of work rejects these.
#[case::alone(0.0, 6)]
#[case::one(1.0, 6)]
#[case::six(6.0, 2)]
#[case::hundred(100.0, 1)]
fn an_unknown_server_gets_a_part_of_the_fleets_initial_concurrency(
    #[case] proxies: f64,
    #[case] limit: usize,
) {
    let mut all = settings();
    all.proxy_count = proxies;
    all.classes[UNSAFE.0].latency_target = 100.0;
    all.classes[UNSAFE.0].deadline = 100.0;
    let mut host = Host::new(all, fleet(1));
    let sent = |host: &mut Host| {
        (0..40).for_each(|_| _ = host.request_as(UNSAFE, None, 100.0));
        std::mem::take(&mut host.in_flight)
    };
    let first = sent(&mut host);
    assert_eq!(first.len(), limit);
    // Responses in time give it more.
    host.now += 0.01;
    first.iter().for_each(|sent| drop(host.serve(*sent)));
    assert!(sent(&mut host).len() >= limit);
}
