//! Outlier ejection: when a server is ejected, and how it comes back.

use mosshead_routing::{OutlierRecord, ServerFailure};
use mosshead_time::{Duration, Instant};
use quickcheck::quickcheck;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn one_unreachable_attempt_ejects_a_server_until_one_trial_request_succeeds() {
    let mut record = OutlierRecord::default();
    record.record_failure(at(1000), ServerFailure::Unreachable);
    assert!(!record.is_selectable(at(1400)));
    assert!(record.is_selectable(at(1500)));
    record.record_selection();
    assert!(!record.is_selectable(at(1500)), "one trial at a time");
    record.record_success();
    assert!(record.is_selectable(at(1501)));
    record.record_selection();
    assert!(record.is_selectable(at(1501)), "a proven server takes any number of requests");
}

#[test]
fn ejections_grow_while_trials_fail_but_stay_bounded() {
    let (mut record, mut now, mut last) = (OutlierRecord::default(), 0, 0);
    for _ in 0..10 {
        record.record_failure(at(now), ServerFailure::Unreachable);
        let ejection = (0..20_000).find(|wait| record.is_selectable(at(now + wait))).expect("it comes back");
        assert!(ejection >= last && ejection <= 4000);
        (now, last) = (now + ejection, ejection);
        record.record_selection();
    }
    assert_eq!(last, 4000);
}

#[test]
fn an_occasional_failure_among_successes_ejects_no_server() {
    let mut record = OutlierRecord::default();
    for round in 0..100 {
        record.record_failure(at(round * 10), ServerFailure::BrokenResponse);
        assert!(record.is_selectable(at(round * 10)));
        (0..4).for_each(|_| record.record_success());
    }
}

#[test]
fn consecutive_failures_eject_a_server() {
    let mut record = OutlierRecord::default();
    (0..3).for_each(|millis| record.record_failure(at(millis), ServerFailure::ErrorResponse));
    assert!(!record.is_selectable(at(3)));
}

#[test]
fn a_full_server_is_left_out_for_a_moment_only() {
    let mut record = OutlierRecord::default();
    record.record_failure(at(100), ServerFailure::Overloaded);
    assert!(!record.is_selectable(at(110)) && record.is_selectable(at(160)));
    record.record_selection();
    assert!(record.is_selectable(at(161)), "it needs no trial");
}

quickcheck! {
    /// Whatever happened, a server is tried again within the longest ejection once its trials have ended.
    fn no_server_stays_ejected_for_good(events: Vec<u8>) -> bool {
        let (mut record, mut now) = (OutlierRecord::default(), Instant::ORIGIN);
        for event in events {
            now += Duration::from_millis(u64::from(event));
            match event % 7 {
                0 => record.record_failure(now, ServerFailure::Unreachable),
                1 => record.record_failure(now, ServerFailure::BrokenResponse),
                2 => record.record_failure(now, ServerFailure::ErrorResponse),
                3 => record.record_failure(now, ServerFailure::Overloaded),
                4 => record.record_selection(),
                5 => record.record_inconclusive(),
                _ => record.record_success(),
            }
        }
        record.record_inconclusive();
        record.is_selectable(now + Duration::from_millis(4000))
    }
}
