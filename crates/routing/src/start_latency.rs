//! How long it takes until a prompt's stream starts, by where the prompt is prefilled and apart from what it waits in
//! queues: learned from this proxy's own requests to one service.
//!
//! Waits are left out on purpose. They are the work of other requests, which both ways have, and a choice by them would swing:
//! the stage scheduler balances them by giving each stage its share of the servers.

use mosshead_time::{Duration, Instant};

use crate::linear_fit::LinearFit;
use crate::prompt::Prompt;

/// The latency of a prefill before the first one, in milliseconds for each token.
const START_PREFILL_MILLIS_PER_TOKEN: f64 = 1.0 / 60.0;
/// Engines may be this many times faster or slower than at the start.
const PREFILL_SPEED_RANGE: f64 = 50.0;
/// The tokens of a prompt before the first one.
const START_TOKENS: f64 = 2000.0;
/// The time from a handover to its first event before the first one, in milliseconds.
const START_HANDOVER_MILLIS: f64 = 35.0;
/// The same for each token of the prompt, whose KV cache is transferred.
const START_HANDOVER_MILLIS_PER_TOKEN: f64 = 0.001;
/// A transfer may take this many times more or less for each token than at the start.
const TRANSFER_SPEED_RANGE: f64 = 100.0;
/// What a local prefill takes beside the computation before the first one, in milliseconds.
const START_LOCAL_MILLIS: f64 = 12.0;
/// A decode server prefills at half a prefill server's speed (PROTOCOL.md, Prefill and decode).
const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;
/// What was learned of a way that is not taken any more loses half of its weight in this time.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// What a proxy has learned of one service, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLatencies {
    /// A prefill beside its tokens, in milliseconds.
    pub prefill_fixed_millis: f64,
    /// A prefill's further time for each token.
    pub prefill_millis_per_token: f64,
    /// A handover until the first event of a prompt without tokens, in milliseconds.
    pub handover_millis: f64,
    /// A local prefill beside its tokens, in milliseconds.
    pub local_fixed_millis: f64,
    /// A local prefill's further time for each token.
    pub local_millis_per_token: f64,
}

/// The latencies of one service.
#[derive(Clone, Debug)]
pub(crate) struct StartLatency {
    /// A call to a prefill server until its response, by the tokens that are not cached.
    prefill: LinearFit,
    /// A request with a handle until its first event, by all tokens of the prompt.
    handover: LinearFit,
    handover_observed_at: Instant,
    /// A request that its decode server prefills until the first event, by the tokens that are not cached.
    local: LinearFit,
    local_observed_at: Instant,
}

impl Default for StartLatency {
    fn default() -> Self {
        Self {
            prefill: LinearFit::new(0.0, START_PREFILL_MILLIS_PER_TOKEN, START_TOKENS, PREFILL_SPEED_RANGE),
            handover: LinearFit::new(
                START_HANDOVER_MILLIS,
                START_HANDOVER_MILLIS_PER_TOKEN,
                START_TOKENS,
                TRANSFER_SPEED_RANGE,
            ),
            handover_observed_at: Instant::ORIGIN,
            local: LinearFit::new(
                START_LOCAL_MILLIS,
                LOCAL_PREFILL_SLOWDOWN * START_PREFILL_MILLIS_PER_TOKEN,
                START_TOKENS,
                PREFILL_SPEED_RANGE,
            ),
            local_observed_at: Instant::ORIGIN,
        }
    }
}

impl StartLatency {
    /// A prefill server has returned the handle of a prompt with this many tokens that were likely not cached.
    pub(crate) fn observe_prefill(&mut self, tokens: f64, latency: Duration) {
        self.prefill.observe(tokens, millis(latency));
    }

    /// The first event has arrived of a request with a handle.
    pub(crate) fn observe_handover(&mut self, now: Instant, prompt: &Prompt, latency: Duration) {
        self.handover.observe(prompt.tokens, millis(latency));
        self.handover_observed_at = now;
    }

    /// The first event has arrived of a request whose prompt the decode server has prefilled.
    pub(crate) fn observe_local_prefill(&mut self, now: Instant, prompt: &Prompt, latency: Duration) {
        self.local.observe(prompt.unshared_tokens(), millis(latency));
        self.local_observed_at = now;
    }

    /// The estimates at this instant.
    pub(crate) fn learned(&self, now: Instant) -> LearnedLatencies {
        LearnedLatencies {
            prefill_fixed_millis: self.prefill.predict(0.0),
            prefill_millis_per_token: self.prefill.slope(),
            handover_millis: self.handover_millis(now, &Prompt::default()),
            local_fixed_millis: self.local_fixed_millis(now),
            local_millis_per_token: self.local_computation_millis(1.0),
        }
    }

    /// How long a decode server computes to prefill this many tokens, in milliseconds. Before it has been seen to do so, it is
    /// told by the prefill servers.
    pub(crate) fn local_computation_millis(&self, tokens: f64) -> f64 {
        let slope = if self.local.is_established() {
            self.local.slope()
        } else {
            LOCAL_PREFILL_SLOWDOWN * self.prefill.slope()
        };
        slope * tokens
    }

    /// Whether the stream is expected to start earlier where its decode server prefills the prompt, none of which that
    /// server may have cached.
    pub(crate) fn is_local_prefill_faster(&self, now: Instant, prompt: &Prompt) -> bool {
        let local = self.local_fixed_millis(now) + self.local_computation_millis(prompt.tokens);
        let remote = self.prefill.predict(prompt.unshared_tokens()) + self.handover_millis(now, prompt);
        local < remote
    }

    /// What a local prefill takes beside the computation.
    fn local_fixed_millis(&self, now: Instant) -> f64 {
        let trust = remaining_weight(now.duration_since(self.local_observed_at));
        START_LOCAL_MILLIS + trust * (self.local.predict(0.0) - START_LOCAL_MILLIS)
    }

    fn handover_millis(&self, now: Instant, prompt: &Prompt) -> f64 {
        let start = START_HANDOVER_MILLIS + START_HANDOVER_MILLIS_PER_TOKEN * prompt.tokens;
        let trust = remaining_weight(now.duration_since(self.handover_observed_at));
        start + trust * (self.handover.predict(prompt.tokens) - start)
    }
}

/// What is left of an observation's weight after this time.
fn remaining_weight(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
