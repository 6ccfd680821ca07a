//! Estimates the latency until a prompt's stream starts, for local and for remote prefill, without queueing time. The
//! estimates are learned from this proxy's own requests to one service.
//!
//! Queueing time is excluded on purpose. It is caused by other requests and occurs with both kinds of prefill, and
//! decisions based on it would oscillate. The stage scheduler balances queueing times instead, by assigning each stage
//! its share of the servers.

use mosshead_time::{Duration, Instant};

use crate::linear_fit::LinearFit;
use crate::prompt::Prompt;

/// Initial estimate of a remote prefill, in milliseconds per token.
const INITIAL_PREFILL_MILLIS_PER_TOKEN: f64 = 1.0 / 60.0;
/// Engines may be up to this many times faster or slower than the initial estimate.
const PREFILL_SPEED_RANGE: f64 = 50.0;
/// The prompt length in tokens at which the initial estimates are treated as observed.
const INITIAL_TYPICAL_TOKENS: f64 = 2000.0;
/// Initial estimate of the fixed time from a handover to the first event.
const INITIAL_HANDOVER_MILLIS: f64 = 35.0;
/// Initial estimate of the additional time per token of the prompt, whose KV cache is transferred.
const INITIAL_HANDOVER_MILLIS_PER_TOKEN: f64 = 0.001;
/// A transfer may take up to this many times more or less time per token than the initial estimate.
const TRANSFER_SPEED_RANGE: f64 = 100.0;
/// Initial estimate of the fixed time of a local prefill, in addition to its computation.
const INITIAL_LOCAL_MILLIS: f64 = 12.0;
/// A decode server prefills at half a prefill server's speed (PROTOCOL.md, Prefill and decode).
const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;
/// While local prefills or handovers are not used, what was learned about them loses half of its weight in this time.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(4);

/// A proxy's latency estimates for one service, for display to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLatencies {
    /// The fixed time of a remote prefill, in milliseconds.
    pub prefill_fixed_millis: f64,
    /// The additional time of a remote prefill per token, in milliseconds.
    pub prefill_millis_per_token: f64,
    /// The fixed time from a handover to the first event, in milliseconds.
    pub handover_millis: f64,
    /// The fixed time of a local prefill, in milliseconds.
    pub local_fixed_millis: f64,
    /// The additional time of a local prefill per token, in milliseconds.
    pub local_millis_per_token: f64,
}

/// Latency estimates of one service.
#[derive(Clone, Debug)]
pub(crate) struct StartLatency {
    /// From the call to a prefill server to its response, by uncached tokens.
    prefill: LinearFit,
    /// From sending a request with a handle to its first event, by all tokens of the prompt.
    handover: LinearFit,
    handover_observed_at: Instant,
    /// From sending a request that its decode server prefills to its first event, by uncached tokens.
    local: LinearFit,
    local_observed_at: Instant,
}

impl Default for StartLatency {
    fn default() -> Self {
        Self {
            prefill: LinearFit::new(
                0.0,
                INITIAL_PREFILL_MILLIS_PER_TOKEN,
                INITIAL_TYPICAL_TOKENS,
                PREFILL_SPEED_RANGE,
            ),
            handover: LinearFit::new(
                INITIAL_HANDOVER_MILLIS,
                INITIAL_HANDOVER_MILLIS_PER_TOKEN,
                INITIAL_TYPICAL_TOKENS,
                TRANSFER_SPEED_RANGE,
            ),
            handover_observed_at: Instant::ORIGIN,
            local: LinearFit::new(
                INITIAL_LOCAL_MILLIS,
                LOCAL_PREFILL_SLOWDOWN * INITIAL_PREFILL_MILLIS_PER_TOKEN,
                INITIAL_TYPICAL_TOKENS,
                PREFILL_SPEED_RANGE,
            ),
            local_observed_at: Instant::ORIGIN,
        }
    }
}

impl StartLatency {
    /// Records the time until a prefill server returned the handle of a prompt. `tokens` counts those that were
    /// probably not cached.
    pub(crate) fn observe_prefill(&mut self, tokens: f64, latency: Duration) {
        self.prefill.observe(tokens, millis(latency));
    }

    /// Records the time until the first event of a request with a handle.
    pub(crate) fn observe_handover(&mut self, now: Instant, prompt: &Prompt, latency: Duration) {
        self.handover.observe(prompt.tokens, millis(latency));
        self.handover_observed_at = now;
    }

    /// Records the time until the first event of a request whose decode server has prefilled the prompt.
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

    /// How long a decode server computes to prefill this many tokens, in milliseconds. Until enough local prefills were
    /// observed, this is derived from the prefill servers.
    pub(crate) fn local_computation_millis(&self, tokens: f64) -> f64 {
        let slope = if self.local.is_established() {
            self.local.slope()
        } else {
            LOCAL_PREFILL_SLOWDOWN * self.prefill.slope()
        };
        slope * tokens
    }

    /// True if the stream is expected to start earlier when its decode server prefills the prompt, even if that server
    /// has none of the prompt cached.
    pub(crate) fn is_local_prefill_faster(&self, now: Instant, prompt: &Prompt) -> bool {
        let local = self.local_fixed_millis(now) + self.local_computation_millis(prompt.tokens);
        let remote = self.prefill.predict(prompt.unshared_tokens()) + self.handover_millis(now, prompt);
        local < remote
    }

    /// The fixed time of a local prefill, in addition to its computation.
    fn local_fixed_millis(&self, now: Instant) -> f64 {
        let observed_weight = remaining_weight(now.duration_since(self.local_observed_at));
        INITIAL_LOCAL_MILLIS + observed_weight * (self.local.predict(0.0) - INITIAL_LOCAL_MILLIS)
    }

    fn handover_millis(&self, now: Instant, prompt: &Prompt) -> f64 {
        let initial_millis = INITIAL_HANDOVER_MILLIS + INITIAL_HANDOVER_MILLIS_PER_TOKEN * prompt.tokens;
        let observed_weight = remaining_weight(now.duration_since(self.handover_observed_at));
        initial_millis + observed_weight * (self.handover.predict(prompt.tokens) - initial_millis)
    }
}

/// The weight that is left of an observation of this age, from 1 down to 0.
fn remaining_weight(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / OBSERVATION_HALF_LIFE.as_secs_f64())
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
