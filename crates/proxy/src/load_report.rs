//! Parses the load reports that servers send in a header or in the body of a probe response.

use mosshead_decide::interface::LoadReport;

/// Parses a load report of the form `name=value,name=value`. Unknown names and invalid numbers are ignored.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match name.trim() {
            "inflight" => report.in_flight = value,
            "queue" => report.queued = value,
            _ => {}
        }
    }
    report
}
