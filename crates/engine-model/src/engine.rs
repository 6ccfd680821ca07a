//! The model of one server: its work queues, streams and prefix cache.

use std::collections::VecDeque;

use mosshead_registry::Stage;

/// A decode server prefills this many times more slowly than a prefill server (PROTOCOL.md, Prefill and decode).
const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;
/// Queue capacity of a server per slot.
const QUEUE_PER_SLOT: usize = 3;

/// Speeds and capacities of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Prompt tokens that a prefill server processes per millisecond.
    pub prefill_tokens_per_milli: f64,
    /// Fixed time of each prefill, in milliseconds.
    pub prefill_fixed_millis: f64,
    /// Time to generate a token, apart from the time that each stream adds, in milliseconds.
    pub step_millis: f64,
    /// Additional time per stream, in milliseconds.
    pub step_millis_per_stream: f64,
    /// Fixed time of the transfer of a KV cache, in milliseconds.
    pub transfer_fixed_millis: f64,
    /// Additional transfer time per token, in milliseconds.
    pub transfer_millis_per_token: f64,
    /// Capacity of a server's prefix cache, in prompt tokens.
    pub cache_tokens: f64,
    /// How long a server is unavailable while it changes its stage, in milliseconds.
    pub switch_millis: f64,
}

/// Index into the simulation's list of requests.
pub(crate) type RequestIndex = usize;

/// A first-in, first-out queue whose requests are processed one at a time.
#[derive(Debug, Default)]
pub(crate) struct SerialQueue {
    pub(crate) waiting: VecDeque<RequestIndex>,
    pub(crate) current: Option<RequestIndex>,
}

impl SerialQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len() + usize::from(self.current.is_some())
    }

    /// Starts the next request and returns it. Returns `None` if one is already in progress or none is waiting.
    pub(crate) fn start_next(&mut self) -> Option<RequestIndex> {
        if self.current.is_none() {
            self.current = self.waiting.pop_front();
            return self.current;
        }
        None
    }
}

/// The state of one model server.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) stage: Stage,
    /// Until this time the server changes its stage and rejects all requests, in milliseconds.
    pub(crate) switching_until: f64,
    /// Prompts to prefill, for decode servers or for the server's own streams.
    pub(crate) prefills: SerialQueue,
    /// KV caches to fetch.
    pub(crate) transfers: SerialQueue,
    pub(crate) streams: u32,
    /// Requests that wait for a free slot.
    pub(crate) waiting: VecDeque<RequestIndex>,
    /// The prefix cache: ids of shared prompt parts and their tokens, the least recently used first.
    cached: VecDeque<(u64, f64)>,
}

impl Engine {
    pub(crate) fn new(stage: Stage) -> Self {
        Self {
            stage,
            switching_until: 0.0,
            prefills: SerialQueue::default(),
            transfers: SerialQueue::default(),
            streams: 0,
            waiting: VecDeque::new(),
            cached: VecDeque::new(),
        }
    }

    /// The number of requests that wait for a prefill or a slot, and of those with a KV cache to fetch.
    pub(crate) fn queued(&self) -> usize {
        self.prefills.waiting.len() + self.transfers.len() + self.waiting.len()
    }

    /// The number of streams and prefills in progress, which `GET /report` calls active.
    pub(crate) fn active(&self) -> usize {
        self.streams as usize + usize::from(self.prefills.current.is_some())
    }

    pub(crate) fn accepts(&self, now: f64, spec: &EngineSpec) -> bool {
        now >= self.switching_until && self.queued() <= QUEUE_PER_SLOT * spec.slots as usize
    }

    /// Adds the shared part of a prompt to the prefix cache, and returns how long the prefill takes in milliseconds.
    pub(crate) fn prefill(&mut self, spec: &EngineSpec, shared: (u64, f64), own_tokens: f64) -> f64 {
        let new_tokens = own_tokens + if self.insert_cached(spec, shared) { 0.0 } else { shared.1 };
        let slowdown = if self.stage == Stage::Prefill { 1.0 } else { LOCAL_PREFILL_SLOWDOWN };
        spec.prefill_fixed_millis + slowdown * new_tokens / spec.prefill_tokens_per_milli
    }

    /// Puts a shared part into the prefix cache. Returns true if it was already cached.
    pub(crate) fn insert_cached(&mut self, spec: &EngineSpec, shared: (u64, f64)) -> bool {
        let before = self.cached.len();
        self.cached.retain(|(id, _)| *id != shared.0);
        let was_cached = self.cached.len() < before;
        self.cached.push_back(shared);
        while self.cached.iter().map(|(_, tokens)| tokens).sum::<f64>() > spec.cache_tokens {
            self.cached.pop_front();
        }
        was_cached
    }

    /// The time to generate one token with the current number of streams, in milliseconds.
    pub(crate) fn token_millis(&self, spec: &EngineSpec) -> f64 {
        spec.step_millis + spec.step_millis_per_stream * f64::from(self.streams)
    }
}
