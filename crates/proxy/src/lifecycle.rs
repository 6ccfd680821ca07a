//! What both threads share: whether the process can serve, drains or stops.
//!
//! Readiness is the process's, health the admin endpoint's; a stop is neither, and wins over both.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use mosshead_decide::{RecoveryBlocker, RecoveryStage};
use tokio::sync::watch;

/// How far this incarnation has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryState {
    pub stage: RecoveryStage,
    pub wants: RecoveryBlocker,
    /// When it came to that,
    pub since: Instant,
    /// and when it was first in full service, if it was.
    pub full: Option<Instant>,
    /// The number of this incarnation; none without a folder for stored state.
    pub incarnation: Option<u64>,
}

/// The switches, and who may look at them.
pub struct Lifecycle {
    /// Since when the proxy is being emptied.
    drain: watch::Sender<Option<Instant>>,
    ready: AtomicBool,
    stopping: AtomicBool,
    /// Whether an operator has been answered that the process can serve.
    readiness_confirmed: watch::Sender<bool>,
    start: Instant,
    recovery: Mutex<RecoveryState>,
}

impl Lifecycle {
    pub fn new() -> Arc<Self> {
        let (ready, stopping) = (AtomicBool::new(false), AtomicBool::new(false));
        let (start, drain, readiness_confirmed) =
            (Instant::now(), watch::Sender::new(None), watch::Sender::new(false));
        let recovery = RecoveryState {
            stage: RecoveryStage::NoServers,
            wants: RecoveryBlocker::Servers,
            since: start,
            full: None,
            incarnation: None,
        };
        Arc::new(Self { drain, ready, stopping, readiness_confirmed, start, recovery: Mutex::new(recovery) })
    }

    /// How far this incarnation has come, and when it began.
    pub fn recovery_state(&self) -> (RecoveryState, Instant) {
        (*self.recovery.lock().unwrap_or_else(PoisonError::into_inner), self.start)
    }

    /// Records the number of this incarnation.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.recovery.lock().unwrap_or_else(PoisonError::into_inner).incarnation = Some(incarnation);
    }

    /// Records the stage of recovery and what it waits for. Returns whether the stage changed.
    pub fn update_recovery(&self, stage: RecoveryStage, wants: RecoveryBlocker) -> bool {
        let mut recovery = self.recovery.lock().unwrap_or_else(PoisonError::into_inner);
        let news = recovery.stage != stage;
        if news {
            recovery.since = Instant::now();
        }
        if stage == RecoveryStage::FullService {
            let since = recovery.since;
            recovery.full.get_or_insert(since);
        }
        (recovery.stage, recovery.wants) = (stage, wants);
        news
    }

    /// Starts or stops draining; a repeated start keeps the time of the first. Returns whether the state changed.
    pub fn set_draining(&self, on: bool) -> bool {
        self.drain.send_if_modified(|since| {
            let changed = since.is_some() != on;
            if changed {
                *since = on.then(Instant::now);
            }
            changed
        })
    }

    pub fn is_draining(&self) -> bool {
        self.drain.borrow().is_some()
    }

    /// Watches since when the proxy is draining.
    pub fn subscribe_draining(&self) -> watch::Receiver<Option<Instant>> {
        self.drain.subscribe()
    }

    /// Marks the process ready: it has a list of endpoints, or discovery has none to give for now.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Records that an operator is being answered that the process can serve.
    pub fn confirm_readiness(&self) {
        self.readiness_confirmed
            .send_if_modified(|readiness_confirmed| !std::mem::replace(readiness_confirmed, true));
    }

    /// Watches whether an operator has been answered that the process can serve.
    pub fn subscribe_readiness_confirmed(&self) -> watch::Receiver<bool> {
        self.readiness_confirmed.subscribe()
    }

    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether this process serves whoever comes.
    pub fn is_serving(&self) -> bool {
        self.is_ready() && !self.stopping.load(Ordering::Acquire)
    }
}
