//! What the board holds of one server.

use mosshead_load_board::Entry;
use quickcheck::{Arbitrary, Gen, quickcheck};

#[derive(Clone, Copy, Debug)]
enum Step {
    Sent,
    Ended,
    Report(f64),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 5 {
            0 | 1 => Step::Sent,
            2 | 3 => Step::Ended,
            _ => Step::Report(
                *source.choose(&[0.0, 1.0, 7.5, -1.0, f64::NAN, f64::INFINITY, 1e300]).unwrap_or(&0.0),
            ),
        }
    }
}

fn after(steps: &[Step]) -> Entry {
    let mut entry = Entry::default();
    for &step in steps {
        match step {
            Step::Sent => entry.sent(),
            Step::Ended => entry.ended(),
            Step::Report(figure) => entry.report(figure),
        }
    }
    entry
}

#[test]
fn a_fresh_figure_replaces_the_old_one_and_zeroes_the_count() {
    let mut entry = Entry::default();
    assert_eq!(entry.value(), 0.0);
    entry.sent();
    entry.sent();
    assert_eq!((entry.value(), entry.since()), (2.0, 2));
    entry.report(7.5);
    assert_eq!((entry.value(), entry.since()), (7.5, 0));
    entry.sent();
    assert_eq!(entry.value(), 8.5);
    entry.report(1.0);
    assert_eq!(entry.value(), 1.0);
}

#[test]
fn what_is_no_figure_changes_nothing() {
    let mut entry = after(&[Step::Report(3.0), Step::Sent]);
    [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0].into_iter().for_each(|figure| entry.report(figure));
    assert_eq!((entry.value(), entry.since()), (4.0, 1));
}

#[test]
fn without_figures_it_is_what_is_out() {
    assert_eq!(after(&[Step::Sent, Step::Sent, Step::Ended]).value(), 1.0);
    assert_eq!(after(&[Step::Ended, Step::Sent]).value(), 1.0);
}

/// Danger: the end of one from before the figure must not hide one sent since: a burst would go unseen.
#[test]
fn the_end_of_an_older_one_does_not_hide_a_newer() {
    let entry = after(&[Step::Sent, Step::Sent, Step::Report(0.0), Step::Sent, Step::Ended, Step::Ended]);
    assert_eq!(entry.value(), 1.0);
    let entry = after(&[Step::Sent, Step::Report(5.0), Step::Sent, Step::Ended]);
    assert_eq!((entry.value(), entry.since()), (5.0, 1));
}

quickcheck! {
    fn a_value_is_a_number_and_not_below_own_sends_since(steps: Vec<Step>) -> bool {
        let entry = after(&steps);
        entry.value().is_finite() && entry.value() >= f64::from(entry.since())
    }

    fn after_a_figure_the_value_is_the_figure_and_each_send_adds_one(steps: Vec<Step>, sends: u8) -> bool {
        let mut entry = after(&steps);
        entry.report(2.0);
        (0..sends).for_each(|_| entry.sent());
        entry.value() == 2.0 + f64::from(sends)
    }
}
