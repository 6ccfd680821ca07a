//! Connections that carry bodies as this proxy sends them, and load reports.

use crate::body::OutgoingBody;
use mosshead_decide::interface::LoadReport;

/// An open connection to a server, or to the endpoint list.
pub type OutboundConnection = mosshead_http_links::OutboundConnection<OutgoingBody>;

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
