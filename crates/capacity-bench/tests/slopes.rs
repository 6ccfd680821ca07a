//! The slopes and the sums.

use std::time::Duration;

use mosshead_capacity_bench::counter::{Counter, encoded};
use mosshead_capacity_bench::memory;
use mosshead_capacity_bench::slope::Slope;
use mosshead_capacity_bench::table::Table;
use mosshead_programs::calls::FetchConfig;
use mosshead_programs::config_transfer::ChunkRequest;
use quickcheck::quickcheck;

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * (1.0 + one.abs().max(other.abs()))
}

quickcheck! {
    fn a_line_is_found_again(base: i16, each: i16) -> bool {
        let (base, each) = (f64::from(base), f64::from(each));
        let points: Vec<(f64, f64)> =
            [30.0, 100.0, 300.0, 2000.0].into_iter().map(|x| (x, base + each * x)).collect();
        let slope = Slope::fit(&points).expect("four sizes");
        near(slope.base, base) && near(slope.each, each) && near(slope.line_r2, 1.0) && slope.sizes == 4
    }

    fn a_power_is_found_again(factor: u8, tenths: u8) -> bool {
        let (factor, exponent) = (f64::from(factor) + 1.0, f64::from(tenths % 30) / 10.0);
        let points: Vec<(f64, f64)> =
            [5.0, 9.0, 17.0, 33.0].into_iter().map(|x: f64| (x, factor * x.powf(exponent))).collect();
        let slope = Slope::fit(&points).expect("four sizes");
        near(slope.exponent.expect("all above 0"), exponent)
    }

    fn any_points_are_borne(points: Vec<(f64, f64)>) -> bool {
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
fn two_points_are_called_two_points() {
    let two = Slope::fit(&[(3.0, 6.0), (5.0, 10.0)]).expect("two sizes");
    assert!(two.words().contains("a straight line through two points"), "{}", two.words());
    assert!(near(two.at(7.0), 14.0));
    let three = Slope::fit(&[(3.0, 6.0), (5.0, 10.0), (7.0, 14.0)]).expect("three sizes");
    assert!(!three.words().contains("two points"), "{}", three.words());
}

#[test]
fn a_figure_of_zero_has_a_line_and_no_power() {
    let slope = Slope::fit(&[(1.0, 0.0), (2.0, 1.0), (3.0, 2.0)]).expect("three sizes");
    assert_eq!(slope.exponent, None);
    assert!(near(slope.each, 1.0));
}

#[test]
fn sums_are_divided_by_time_and_processes() {
    let mut counter = Counter::default();
    (0..30).for_each(|_| counter.count(100));
    counter.busy = Duration::from_millis(60);
    let mut all = Counter::default();
    all.add(&counter);
    all.add(&counter);
    assert_eq!((all.messages, all.bytes), (60, 6000));
    let rates = all.rates(2_000, 3);
    assert!(near(rates.messages, 10.0) && near(rates.bytes, 1000.0) && near(rates.share, 0.02), "{rates:?}");
    let none = Counter::default().rates(0, 0);
    assert_eq!((none.messages, none.bytes, none.share), (0.0, 0.0, 0.0));
}

#[test]
fn work_is_done_once_and_its_result_kept() {
    let mut counter = Counter::default();
    let mut turns = 0;
    let result = counter.time(|| {
        turns += 1;
        7
    });
    assert_eq!((result, turns, counter.messages), (7, 1, 0));
}

#[test]
fn messages_are_as_long_as_they_are_sent() {
    let fetch = FetchConfig(ChunkRequest { base_revision: 1, target_revision: 0, offset: 2 });
    assert_eq!(encoded(&fetch), [0x83, 0x01, 0x00, 0x02]);
}

#[test]
fn memory_is_read_and_divided() {
    assert_eq!(memory::parse("900 25 3 1 0 4 0\n"), Some(25 * 4096));
    assert_eq!(memory::parse("900"), None);
    assert_eq!(memory::parse("900 x"), None);
    assert!(memory::resident() > 0);
    assert!(near(memory::each(100, 400, 3), 100.0) && near(memory::each(400, 100, 3), 0.0));
}

#[test]
fn a_table_has_a_slope_for_each_column() {
    let mut table = Table::new("Pulls", "sources", &["msgs/s", "KB each"]);
    table.row(5, vec![10.0, 1.0]);
    table.row(9, vec![18.0, 1.0]);
    table.row(17, vec![34.0, 1.0]);
    let text = table.to_string();
    assert!(text.contains("slope of msgs/s: 0.0000 + 2.000000 n, r2 1.000; power n^1.00"), "{text}");
    assert!(text.contains("slope of KB each: 1.0000 + 0.000000 n"), "{text}");
    assert_eq!(table.slope(2), None);
}

#[test]
fn a_size_without_a_figure_is_shown_and_left_out_of_the_slope() {
    let mut table = Table::new("Members", "members", &["bytes/s"]);
    table.row(10, vec![100.0]);
    table.row(20, vec![200.0]);
    table.row(30, vec![f64::NAN]);
    let slope = table.slope(0).expect("two sizes");
    assert_eq!(slope.sizes, 2);
    assert!(near(slope.each, 10.0));
    assert!(table.to_string().lines().any(|line| line.trim_end().ends_with(" -")), "{table}");
}
