//! One model server.

use std::collections::VecDeque;

use mosshead_registry::Stage;

/// A decode server prefills so many times more slowly (PROTOCOL.md, Prefill and decode).
const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;
/// A server queues so many requests for each slot.
const QUEUE_PER_SLOT: usize = 3;

/// The proportions of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Streams at once.
    pub slots: u32,
    /// Prompt tokens that a prefill server reads in a millisecond.
    pub prefill_tokens_per_milli: f64,
    /// What each prefill takes beside its tokens, in milliseconds.
    pub prefill_fixed_millis: f64,
    /// What a token takes with one stream, in milliseconds.
    pub step_millis: f64,
    /// What each further stream adds to that.
    pub step_millis_per_stream: f64,
    /// What the transfer of a KV cache takes beside its tokens, in milliseconds.
    pub transfer_fixed_millis: f64,
    /// What each of its tokens takes, in milliseconds.
    pub transfer_millis_per_token: f64,
    /// Prompt tokens that a server keeps for later prompts.
    pub cache_tokens: f64,
    /// How long a server is missing that changes its stage, in milliseconds.
    pub switch_millis: f64,
}

/// A number of a request.
pub(crate) type RequestIndex = usize;

/// Work on one thing at a time, in the order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub(crate) waiting: VecDeque<RequestIndex>,
    pub(crate) current: Option<RequestIndex>,
}

impl Lane {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len() + usize::from(self.current.is_some())
    }

    /// Takes up the next request, if none is worked on.
    pub(crate) fn take_next(&mut self) -> Option<RequestIndex> {
        if self.current.is_none() {
            self.current = self.waiting.pop_front();
            return self.current;
        }
        None
    }
}

/// One model server.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) stage: Stage,
    /// Until then it changes its stage and rejects everything.
    pub(crate) switching_until: f64,
    /// Prompts that it prefills: for others, or for its own streams.
    pub(crate) prefills: Lane,
    /// KV caches that it fetches.
    pub(crate) transfers: Lane,
    pub(crate) streams: u32,
    /// Requests that wait for a slot.
    pub(crate) waiting: VecDeque<RequestIndex>,
    /// Shared parts that it keeps, the last used one at the end, with their tokens.
    cached: VecDeque<(u64, f64)>,
}

impl Engine {
    pub(crate) fn new(stage: Stage) -> Self {
        Self {
            stage,
            switching_until: 0.0,
            prefills: Lane::default(),
            transfers: Lane::default(),
            streams: 0,
            waiting: VecDeque::new(),
            cached: VecDeque::new(),
        }
    }

    /// Requests that have not begun to generate.
    pub(crate) fn queued(&self) -> usize {
        self.prefills.waiting.len() + self.transfers.len() + self.waiting.len()
    }

    /// What `GET /report` calls active.
    pub(crate) fn active(&self) -> usize {
        self.streams as usize + usize::from(self.prefills.current.is_some())
    }

    pub(crate) fn accepts(&self, now: f64, spec: &EngineSpec) -> bool {
        now >= self.switching_until && self.queued() <= QUEUE_PER_SLOT * spec.slots as usize
    }

    /// Reads a prompt: how long that takes, given what it has kept.
    pub(crate) fn prefill(&mut self, spec: &EngineSpec, shared: (u64, f64), own_tokens: f64) -> f64 {
        let new_tokens = own_tokens + if self.touch(spec, shared) { 0.0 } else { shared.1 };
        let slowdown = if self.stage == Stage::Prefill { 1.0 } else { LOCAL_PREFILL_SLOWDOWN };
        spec.prefill_fixed_millis + slowdown * new_tokens / spec.prefill_tokens_per_milli
    }

    /// Keeps a shared part, and returns whether it had it before.
    pub(crate) fn touch(&mut self, spec: &EngineSpec, shared: (u64, f64)) -> bool {
        let before = self.cached.len();
        self.cached.retain(|(id, _)| *id != shared.0);
        let was_cached = self.cached.len() < before;
        self.cached.push_back(shared);
        while self.cached.iter().map(|(_, tokens)| tokens).sum::<f64>() > spec.cache_tokens {
            self.cached.pop_front();
        }
        was_cached
    }

    /// How long a token takes now.
    pub(crate) fn step(&self, spec: &EngineSpec) -> f64 {
        spec.step_millis + spec.step_millis_per_stream * f64::from(self.streams)
    }
}
