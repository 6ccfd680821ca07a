//! The engine of a model server: one prefill at a time, some streams at once, and parts of prompts that it has kept.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::time::Duration;

use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::sleep;

/// Streams that a server decodes at once.
pub(super) const SLOTS: usize = 16;
const PREFILL_TOKENS_PER_MILLI: f64 = 40.0;
/// A decode server prefills a prompt itself, between the tokens of other streams.
const LOCAL_PREFILL_SLOWDOWN: f64 = 2.0;
const TOKEN_TIME: Duration = Duration::from_millis(4);
/// What each stream that runs besides adds to the time of a token.
const TOKEN_TIME_PER_STREAM: Duration = Duration::from_micros(200);
/// The time in which a server fetches the KV cache of a prompt.
const HANDOVER_TIME: Duration = Duration::from_millis(5);
/// Parts that a server keeps, at most.
const MAX_KEPT_PARTS: usize = 4_096;

/// A part of a prompt: its id, and its length in tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PromptPart {
    pub(super) id: String,
    pub(super) tokens: u64,
}

/// The work of one server.
#[derive(Debug)]
pub(super) struct Engine {
    prefill: Semaphore,
    slots: Semaphore,
    waiting: Cell<usize>,
    running: Cell<usize>,
    kept_parts: RefCell<HashSet<String>>,
}

impl Default for Engine {
    fn default() -> Engine {
        Engine {
            prefill: Semaphore::new(1),
            slots: Semaphore::new(SLOTS),
            waiting: Cell::default(),
            running: Cell::default(),
            kept_parts: RefCell::default(),
        }
    }
}

/// A slot that a stream holds until this is dropped.
pub(super) struct Slot<'a> {
    engine: &'a Engine,
    _permit: SemaphorePermit<'a>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.engine.running.set(self.engine.running.get() - 1);
    }
}

impl Engine {
    /// Requests that wait.
    pub(super) fn queued(&self) -> usize {
        self.waiting.get()
    }

    /// Requests that it works on.
    pub(super) fn active(&self) -> usize {
        self.running.get()
    }

    /// Prefills a prompt, after those that came before. Parts that are kept cost nothing.
    pub(super) async fn prefill(&self, parts: &[PromptPart]) {
        let _turn = self.wait_for(&self.prefill).await;
        sleep(self.prefill_time(parts)).await;
    }

    /// Waits for a slot to decode in.
    pub(super) async fn slot(&self) -> Slot<'_> {
        self.wait_for(&self.slots).await
    }

    /// The time in which a decode server prefills a prompt by itself.
    pub(super) async fn prefill_locally(&self, parts: &[PromptPart]) {
        sleep(self.prefill_time(parts).mul_f64(LOCAL_PREFILL_SLOWDOWN)).await;
    }

    /// The time in which it fetches the KV cache of a prompt.
    pub(super) async fn hand_over(&self) {
        sleep(HANDOVER_TIME).await;
    }

    /// The time of one token, by the streams that run.
    pub(super) async fn next_token(&self) {
        sleep(TOKEN_TIME + TOKEN_TIME_PER_STREAM * self.running.get() as u32).await;
    }

    async fn wait_for<'a>(&'a self, semaphore: &'a Semaphore) -> Slot<'a> {
        let waiting = Waiting::begin(&self.waiting);
        let permit = semaphore.acquire().await.expect("the semaphore is never closed");
        drop(waiting);
        self.running.set(self.running.get() + 1);
        Slot { engine: self, _permit: permit }
    }

    fn prefill_time(&self, parts: &[PromptPart]) -> Duration {
        let mut kept = self.kept_parts.borrow_mut();
        if kept.len() >= MAX_KEPT_PARTS {
            kept.clear();
        }
        let new = parts.iter().filter(|part| kept.insert(part.id.clone()));
        let tokens: u64 = new.map(|part| part.tokens).sum();
        Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MILLI / 1_000.0)
    }
}

/// Counts a request that waits, also when its client leaves.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn begin(count: &'a Cell<usize>) -> Waiting<'a> {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
