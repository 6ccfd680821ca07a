//! Tests of `mosshead::load_report`.

use mosshead::load_report::load_report;
use mosshead_decide::interface::LoadReport;

#[test]
fn a_load_report_is_read_as_far_as_it_makes_sense() {
    let report = load_report("qps=3, inflight=7,queue=-2,util,queue=nan");
    assert_eq!(report, LoadReport { in_flight: Some(7.0), queued: None });
}
