//! Tests of `mosshead::load_report`.

use mosshead::load_report::parse_load_report;
use mosshead_decide::interface::LoadReport;

#[test]
fn unknown_names_and_invalid_numbers_of_a_load_report_are_ignored() {
    let report = parse_load_report("qps=3, inflight=7,queue=-2,util,queue=nan");
    assert_eq!(report, LoadReport { in_flight: Some(7.0), queued: None });
}
