//! The input of a simulation: engines, servers, proxies and traffic.

use crate::engine::EngineSpec;

/// Requests with the same properties.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Requests per second of all proxies together.
    pub per_second: f64,
    /// Length of a shared prompt part, in tokens.
    pub shared_tokens: f64,
    /// The number of different shared parts.
    pub shared_parts: u64,
    /// Mean length of the part that only this request has, in tokens.
    pub own_tokens: f64,
    /// The number of generated tokens.
    pub output_tokens: f64,
    /// Latency target of the first event, in milliseconds.
    pub target_millis: f64,
}

/// One simulated run of one service.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The engine of all servers.
    pub engine: EngineSpec,
    /// The number of servers of the service.
    pub servers: usize,
    /// The number of proxies, each of which decides independently.
    pub proxies: usize,
    /// The traffic at the start.
    pub classes: Vec<RequestClass>,
    /// The traffic in the second half; if empty, that of the start continues.
    pub later_classes: Vec<RequestClass>,
    /// The time during which requests arrive, in milliseconds.
    pub length_millis: f64,
    /// Requests before this time are not counted, because caches are cold and estimates have their initial values. In
    /// milliseconds.
    pub warmup_millis: f64,
}

impl Scenario {
    /// The traffic at a time, in milliseconds since requests started to arrive.
    pub(crate) fn classes_at(&self, now: f64) -> &[RequestClass] {
        let is_later = now >= self.length_millis / 2.0 && !self.later_classes.is_empty();
        if is_later { &self.later_classes } else { &self.classes }
    }
}
