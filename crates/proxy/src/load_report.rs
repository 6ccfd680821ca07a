//! Load reports of servers.

use mosshead_decide::interface::LoadReport;

/// A load report as `name=value,name=value`; what is not understood is left out.
pub fn load_report(text: &str) -> LoadReport {
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
