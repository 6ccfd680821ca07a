//! Connections that carry bodies as this proxy sends them, and load reports.

use crate::body::OutgoingBody;
use mosshead_decide::interface::LoadReport;

/// An open connection to a server, or to the endpoint list.
pub(crate) type OutboundConnection = mosshead_http_links::OutboundConnection<OutgoingBody>;

/// A load report as `name=value,name=value`; what is not understood is left out.
pub(crate) fn load_report(text: &str) -> LoadReport {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_read_as_far_as_it_makes_sense() {
        let report = load_report("qps=3, inflight=7,queue=-2,util,queue=nan");
        assert_eq!(report, LoadReport { in_flight: Some(7.0), queued: None });
    }
}
