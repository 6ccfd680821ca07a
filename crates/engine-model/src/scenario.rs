//! What is played: engines, servers, proxies and traffic.

use crate::engine::EngineSpec;

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// Requests a second, all proxies together.
    pub per_second: f64,
    /// Tokens of the part that requests share.
    pub shared_tokens: f64,
    /// How many such parts there are.
    pub shared_parts: u64,
    /// Tokens of the request's own part, on the average.
    pub own_tokens: f64,
    /// Tokens that are generated.
    pub output_tokens: f64,
    /// The first event has to come within this time, in milliseconds.
    pub target_millis: f64,
}

/// One day of one service.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The engine of all servers.
    pub engine: EngineSpec,
    /// The servers of the service.
    pub servers: usize,
    /// The proxies, each of which decides by itself.
    pub proxies: usize,
    /// The traffic at the start.
    pub classes: Vec<RequestClass>,
    /// The traffic from the middle of the day on; the same where it is empty.
    pub later_classes: Vec<RequestClass>,
    /// How long requests arrive, in milliseconds.
    pub length_millis: f64,
    /// Requests before this time don't count: caches are cold and estimates at their start values.
    pub warmup_millis: f64,
}

impl Scenario {
    /// The traffic at a time.
    pub(crate) fn classes_at(&self, now: f64) -> &[RequestClass] {
        let is_later = now >= self.length_millis / 2.0 && !self.later_classes.is_empty();
        if is_later { &self.later_classes } else { &self.classes }
    }
}
