//! What a model server reports about its work (PROTOCOL.md, Requests: `GET /report`).

use std::collections::HashMap;

use tinyjson::JsonValue;

/// A longer report is not read.
pub const MAX_REPORT_BYTES: usize = 64 * 1024;

/// The requests that a model server had when it wrote its report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerReport {
    /// Requests that wait.
    pub queued: f64,
    /// Requests that it works on.
    pub active: f64,
}

impl ServerReport {
    /// Reads the body of a report; `None` where it is none. Counts are finite and not negative.
    pub fn parse(body: &[u8]) -> Option<ServerReport> {
        if body.len() > MAX_REPORT_BYTES {
            return None;
        }
        let value = mosshead_config::parse_json(body)?;
        let fields: &HashMap<String, JsonValue> = value.get()?;
        let count = |name: &str| fields.get(name).and_then(|value| value.get::<f64>().copied());
        let sound = |count: f64| count.is_finite().then_some(count.max(0.0));
        Some(ServerReport { queued: sound(count("queued")?)?, active: sound(count("active")?)? })
    }

    /// The requests that it has, waiting or not.
    pub fn load(&self) -> f64 {
        self.queued + self.active
    }
}
