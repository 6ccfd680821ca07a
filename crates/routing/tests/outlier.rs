//! What own sends say of a server: when it is left alone, and how it comes back.

use mosshead_routing::{OutlierRecord, ServerFailure};
use quickcheck::quickcheck;

#[test]
fn one_unreachable_send_lets_a_server_rest_and_one_request_tries_it() {
    let mut evidence = OutlierRecord::default();
    evidence.failed(1000, ServerFailure::Unreachable);
    assert!(!evidence.open(1400));
    assert!(evidence.open(1500));
    evidence.chosen();
    assert!(!evidence.open(1500), "one trial at a time");
    evidence.served();
    assert!(evidence.open(1501));
    evidence.chosen();
    assert!(evidence.open(1501), "a proven server takes any number");
}

#[test]
fn rests_grow_while_trials_fail_but_stay_bounded() {
    let (mut evidence, mut now, mut last) = (OutlierRecord::default(), 0, 0);
    for _ in 0..10 {
        evidence.failed(now, ServerFailure::Unreachable);
        let rest = (0..20_000).find(|wait| evidence.open(now + wait)).expect("it comes back");
        assert!(rest >= last && rest <= 4000);
        (now, last) = (now + rest, rest);
        evidence.chosen();
    }
    assert_eq!(last, 4000);
}

#[test]
fn a_chance_failure_among_successes_is_forgiven() {
    let mut evidence = OutlierRecord::default();
    for at in 0..100 {
        evidence.failed(at * 10, ServerFailure::Broken);
        assert!(evidence.open(at * 10));
        (0..4).for_each(|_| evidence.served());
    }
}

#[test]
fn failures_in_a_row_are_not() {
    let mut evidence = OutlierRecord::default();
    (0..3).for_each(|at| evidence.failed(at, ServerFailure::Failed));
    assert!(!evidence.open(3));
}

#[test]
fn a_full_server_rests_for_a_moment_only() {
    let mut evidence = OutlierRecord::default();
    evidence.failed(100, ServerFailure::Full);
    assert!(!evidence.open(110) && evidence.open(160));
    evidence.chosen();
    assert!(evidence.open(161), "it needs no trial");
}

quickcheck! {
    /// Whatever happened, a server is tried again within the longest rest once its trials have ended.
    fn nobody_is_left_alone_for_good(events: Vec<u8>) -> bool {
        let (mut evidence, mut now) = (OutlierRecord::default(), 0);
        for event in events {
            now += u64::from(event);
            match event % 7 {
                0 => evidence.failed(now, ServerFailure::Unreachable),
                1 => evidence.failed(now, ServerFailure::Broken),
                2 => evidence.failed(now, ServerFailure::Failed),
                3 => evidence.failed(now, ServerFailure::Full),
                4 => evidence.chosen(),
                5 => evidence.unknown(),
                _ => evidence.served(),
            }
        }
        evidence.unknown();
        evidence.open(now + 4000)
    }
}
