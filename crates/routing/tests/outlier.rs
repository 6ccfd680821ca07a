//! Outlier ejection: when a server is ejected, and when it may be selected again.

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
    assert!(record.is_selectable(at(1501)), "after a success the number of requests is not limited");
}

#[test]
fn ejections_grow_while_trials_fail_but_stay_bounded() {
    let (mut record, mut now, mut last) = (OutlierRecord::default(), 0, 0);
    for _ in 0..10 {
        record.record_failure(at(now), ServerFailure::Unreachable);
        let ejection =
            (0..20_000).find(|wait| record.is_selectable(at(now + wait))).expect("the ejection ends");
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
fn an_overloaded_server_is_paused_briefly_and_needs_no_trial() {
    let mut record = OutlierRecord::default();
    record.record_failure(at(100), ServerFailure::Overloaded);
    assert!(!record.is_selectable(at(110)) && record.is_selectable(at(160)));
    record.record_selection();
    assert!(record.is_selectable(at(161)), "it needs no trial");
}

quickcheck! {
    /// After any sequence of events, a server without a trial in flight is selectable again within the longest
    /// ejection.
    fn every_ejection_ends(events: Vec<u8>) -> bool {
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
