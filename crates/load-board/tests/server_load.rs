//! The estimate of a server's load from reports, own requests sent since, and the ends of requests.

use mosshead_load_board::ServerLoad;
use quickcheck::{Arbitrary, Gen, quickcheck};

#[derive(Clone, Copy, Debug)]
enum Step {
    Send,
    End,
    Report(f64),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 5 {
            0 | 1 => Step::Send,
            2 | 3 => Step::End,
            _ => Step::Report(
                *source.choose(&[0.0, 1.0, 7.5, -1.0, f64::NAN, f64::INFINITY, 1e300]).unwrap_or(&0.0),
            ),
        }
    }
}

fn after(steps: &[Step]) -> ServerLoad {
    let mut load = ServerLoad::default();
    for &step in steps {
        match step {
            Step::Send => load.record_send(),
            Step::End => load.record_end(),
            Step::Report(reported) => load.record_report(reported),
        }
    }
    load
}

#[test]
fn a_report_replaces_the_last_one_and_resets_the_sends() {
    let mut load = ServerLoad::default();
    assert_eq!(load.estimate(), 0.0);
    load.record_send();
    load.record_send();
    assert_eq!((load.estimate(), load.sends_since_report()), (2.0, 2));
    load.record_report(7.5);
    assert_eq!((load.estimate(), load.sends_since_report()), (7.5, 0));
    load.record_send();
    assert_eq!(load.estimate(), 8.5);
    load.record_report(1.0);
    assert_eq!(load.estimate(), 1.0);
}

#[test]
fn invalid_reports_are_ignored() {
    let mut load = after(&[Step::Report(3.0), Step::Send]);
    [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0]
        .into_iter()
        .for_each(|reported| load.record_report(reported));
    assert_eq!((load.estimate(), load.sends_since_report()), (4.0, 1));
}

#[test]
fn without_reports_the_estimate_is_the_requests_in_flight() {
    assert_eq!(after(&[Step::Send, Step::Send, Step::End]).estimate(), 1.0);
    assert_eq!(after(&[Step::End, Step::Send]).estimate(), 1.0);
}

/// The end of a request from before the report must not hide one that was sent after it; otherwise bursts stay
/// unnoticed.
#[test]
fn the_end_of_an_earlier_request_does_not_hide_a_later_one() {
    let load = after(&[Step::Send, Step::Send, Step::Report(0.0), Step::Send, Step::End, Step::End]);
    assert_eq!(load.estimate(), 1.0);
    let load = after(&[Step::Send, Step::Report(5.0), Step::Send, Step::End]);
    assert_eq!((load.estimate(), load.sends_since_report()), (5.0, 1));
}

quickcheck! {
    fn an_estimate_is_finite_and_at_least_the_sends_since_the_report(steps: Vec<Step>) -> bool {
        let load = after(&steps);
        load.estimate().is_finite() && load.estimate() >= f64::from(load.sends_since_report())
    }

    fn an_estimate_is_the_report_plus_one_for_each_send(steps: Vec<Step>, sends: u8) -> bool {
        let mut load = after(&steps);
        load.record_report(2.0);
        (0..sends).for_each(|_| load.record_send());
        load.estimate() == 2.0 + f64::from(sends)
    }
}
