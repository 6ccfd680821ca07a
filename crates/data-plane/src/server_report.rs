//! The load report of a model server (PROTOCOL.md, Requests: `GET /report`).

use std::collections::HashMap;

use tinyjson::JsonValue;

/// The maximum length of a load report, in bytes. A longer one is rejected.
pub const MAX_REPORT_BYTES: usize = 64 * 1024;

/// The number of requests at a model server when it made the report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerReport {
    /// Requests in its queue.
    pub queued: f64,
    /// Requests that it is running.
    pub active: f64,
}

impl ServerReport {
    /// Parses the body of a report; `None` if it is not a valid one. Negative counts are taken as 0.
    pub fn parse(body: &[u8]) -> Option<ServerReport> {
        if body.len() > MAX_REPORT_BYTES {
            return None;
        }
        let value = mosshead_config::parse_json(body)?;
        let fields: &HashMap<String, JsonValue> = value.get()?;
        let count = |name: &str| fields.get(name).and_then(|value| value.get::<f64>().copied());
        let valid_count = |count: f64| count.is_finite().then_some(count.max(0.0));
        Some(ServerReport { queued: valid_count(count("queued")?)?, active: valid_count(count("active")?)? })
    }

    /// The number of all requests, queued or running.
    pub fn load(&self) -> f64 {
        self.queued + self.active
    }
}
