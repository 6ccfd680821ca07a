//! Slopes, tables and counters.

use std::time::Duration;

use mosshead_capacity_bench::counter::{Counter, encoded};
use mosshead_capacity_bench::memory;
use mosshead_capacity_bench::slope::Slope;
use mosshead_capacity_bench::table::Table;
use mosshead_programs::calls::FetchConfig;
use mosshead_programs::config_transfer::ChunkRequest;
use quickcheck::quickcheck;

fn is_near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * (1.0 + one.abs().max(other.abs()))
}

quickcheck! {
    fn a_fit_recovers_a_line(base: i16, per_unit: i16) -> bool {
        let (base, per_unit) = (f64::from(base), f64::from(per_unit));
        let points: Vec<(f64, f64)> =
            [30.0, 100.0, 300.0, 2000.0].into_iter().map(|x| (x, base + per_unit * x)).collect();
        let slope = Slope::fit(&points).expect("there are four sizes");
        is_near(slope.base, base) && is_near(slope.per_unit, per_unit) && is_near(slope.line_r2, 1.0) && slope.sizes == 4
    }

    fn a_fit_recovers_a_power(factor: u8, tenths: u8) -> bool {
        let (factor, exponent) = (f64::from(factor) + 1.0, f64::from(tenths % 30) / 10.0);
        let points: Vec<(f64, f64)> =
            [5.0, 9.0, 17.0, 33.0].into_iter().map(|x: f64| (x, factor * x.powf(exponent))).collect();
        let slope = Slope::fit(&points).expect("there are four sizes");
        is_near(slope.exponent.expect("all values are above 0"), exponent)
    }

    fn any_points_are_fitted_or_rejected(points: Vec<(f64, f64)>) -> bool {
        Slope::fit(&points).is_none_or(|slope| slope.sizes >= 2 && slope.line_r2 <= 1.0)
    }
}

#[test]
fn one_size_has_no_slope() {
    assert_eq!(Slope::fit(&[]), None);
    assert_eq!(Slope::fit(&[(3.0, 1.0)]), None);
    assert_eq!(Slope::fit(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(Slope::fit(&[(3.0, f64::NAN), (5.0, 2.0)]), None);
}

#[test]
fn a_line_through_two_points_is_marked_as_such() {
    let two = Slope::fit(&[(3.0, 6.0), (5.0, 10.0)]).expect("there are two sizes");
    assert!(two.description().contains("a straight line through two points"), "{}", two.description());
    assert!(is_near(two.value_at(7.0), 14.0));
    let three = Slope::fit(&[(3.0, 6.0), (5.0, 10.0), (7.0, 14.0)]).expect("there are three sizes");
    assert!(!three.description().contains("two points"), "{}", three.description());
}

#[test]
fn a_value_of_zero_has_a_line_and_no_power() {
    let slope = Slope::fit(&[(1.0, 0.0), (2.0, 1.0), (3.0, 2.0)]).expect("there are three sizes");
    assert_eq!(slope.exponent, None);
    assert!(is_near(slope.per_unit, 1.0));
}

#[test]
fn rates_are_sums_divided_by_time_and_processes() {
    let mut counter = Counter::default();
    (0..30).for_each(|_| counter.count_message(100));
    counter.processor_time = Duration::from_millis(60);
    let mut all = Counter::default();
    all.add(&counter);
    all.add(&counter);
    assert_eq!((all.messages, all.bytes), (60, 6000));
    let rates = all.rates(Duration::from_secs(2), 3);
    assert!(
        is_near(rates.messages, 10.0) && is_near(rates.bytes, 1000.0) && is_near(rates.processor_share, 0.02),
        "{rates:?}"
    );
    let none = Counter::default().rates(Duration::ZERO, 0);
    assert_eq!((none.messages, none.bytes, none.processor_share), (0.0, 0.0, 0.0));
}

#[test]
fn timed_work_runs_once_and_its_result_is_returned() {
    let mut counter = Counter::default();
    let mut calls = 0;
    let result = counter.time(|| {
        calls += 1;
        7
    });
    assert_eq!((result, calls, counter.messages), (7, 1, 0));
}

#[test]
fn messages_are_encoded_as_they_are_sent() {
    let fetch = FetchConfig(ChunkRequest { offset: 2, ..ChunkRequest::first(1) });
    assert_eq!(encoded(&fetch), [0x83, 0x01, 0x00, 0x02]);
}

#[test]
fn resident_memory_is_parsed_and_divided() {
    assert_eq!(memory::parse_statm("900 25 3 1 0 4 0\n"), Some(25 * 4096));
    assert_eq!(memory::parse_statm("900"), None);
    assert_eq!(memory::parse_statm("900 x"), None);
    assert!(memory::resident_bytes() > 0);
    assert!(
        is_near(memory::growth_per_process(100, 400, 3), 100.0)
            && is_near(memory::growth_per_process(400, 100, 3), 0.0)
    );
}

#[test]
fn a_table_prints_a_slope_for_each_column() {
    let mut table = Table::new("Pulls", "sources", &["msgs/s", "KB each"]);
    table.add_row(5, vec![10.0, 1.0]);
    table.add_row(9, vec![18.0, 1.0]);
    table.add_row(17, vec![34.0, 1.0]);
    let text = table.to_string();
    assert!(text.contains("slope of msgs/s: 0.0000 + 2.000000 n, r2 1.000; power n^1.00"), "{text}");
    assert!(text.contains("slope of KB each: 1.0000 + 0.000000 n"), "{text}");
    assert_eq!(table.slope(2), None);
}

#[test]
fn a_size_without_a_value_is_printed_and_left_out_of_the_slope() {
    let mut table = Table::new("Members", "members", &["bytes/s"]);
    table.add_row(10, vec![100.0]);
    table.add_row(20, vec![200.0]);
    table.add_row(30, vec![f64::NAN]);
    let slope = table.slope(0).expect("there are two sizes");
    assert_eq!(slope.sizes, 2);
    assert!(is_near(slope.per_unit, 10.0));
    assert!(table.to_string().lines().any(|line| line.trim_end().ends_with(" -")), "{table}");
}
