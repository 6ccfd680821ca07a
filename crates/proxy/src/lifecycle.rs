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
pub(crate) struct RecoveryState {
    pub(crate) stage: RecoveryStage,
    pub(crate) wants: RecoveryBlocker,
    /// When it came to that,
    pub(crate) since: Instant,
    /// and when it was first in full service, if it was.
    pub(crate) full: Option<Instant>,
    /// Which life it is, where there is a folder to tell by.
    pub(crate) incarnation: Option<u64>,
}

/// The switches, and who may look at them.
pub(crate) struct Lifecycle {
    /// Since when the proxy is being emptied.
    drain: watch::Sender<Option<Instant>>,
    ready: AtomicBool,
    stopping: AtomicBool,
    /// An operator has been told that the process can serve.
    readiness_confirmed: watch::Sender<bool>,
    start: Instant,
    recovery: Mutex<RecoveryState>,
}

impl Lifecycle {
    pub(crate) fn new() -> Arc<Self> {
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
    pub(crate) fn recovery_state(&self) -> (RecoveryState, Instant) {
        (*self.recovery.lock().unwrap_or_else(PoisonError::into_inner), self.start)
    }

    /// It is the life of this number.
    pub(crate) fn set_incarnation(&self, incarnation: u64) {
        self.recovery.lock().unwrap_or_else(PoisonError::into_inner).incarnation = Some(incarnation);
    }

    /// It has come so far now; says whether that is news of the state, not of what it waits for.
    pub(crate) fn update_recovery(&self, stage: RecoveryStage, wants: RecoveryBlocker) -> bool {
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

    /// Empties the proxy, or brings it back. Asked twice, the first time counts; says whether it changed.
    pub(crate) fn set_draining(&self, on: bool) -> bool {
        self.drain.send_if_modified(|since| {
            let changed = since.is_some() != on;
            if changed {
                *since = on.then(Instant::now);
            }
            changed
        })
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.drain.borrow().is_some()
    }

    /// Reports since when the proxy is being emptied.
    pub(crate) fn subscribe_draining(&self) -> watch::Receiver<Option<Instant>> {
        self.drain.subscribe()
    }

    /// There is a list to send by, or none is to be had for now.
    pub(crate) fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// An operator is being told so.
    pub(crate) fn confirm_readiness(&self) {
        self.readiness_confirmed
            .send_if_modified(|readiness_confirmed| !std::mem::replace(readiness_confirmed, true));
    }

    /// Reports whether an operator has been told.
    pub(crate) fn subscribe_readiness_confirmed(&self) -> watch::Receiver<bool> {
        self.readiness_confirmed.subscribe()
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether this process serves whoever comes.
    pub(crate) fn is_serving(&self) -> bool {
        self.is_ready() && !self.stopping.load(Ordering::Acquire)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards calls that come twice: the first one says since when, and each way back is one.
    #[test]
    fn a_drain_counts_from_its_first_call_and_comes_back() {
        let lifecycle = Lifecycle::new();
        assert!(lifecycle.set_draining(true) && lifecycle.is_draining());
        let since = *lifecycle.subscribe_draining().borrow();
        assert!(!lifecycle.set_draining(true) && *lifecycle.subscribe_draining().borrow() == since);
        assert!(lifecycle.set_draining(false) && !lifecycle.set_draining(false) && !lifecycle.is_draining());
    }

    #[test]
    fn who_stops_serves_nobody_new_but_stays_ready() {
        let lifecycle = Lifecycle::new();
        assert!(!lifecycle.is_serving());
        lifecycle.set_ready();
        assert!(lifecycle.is_serving());
        lifecycle.set_draining(true);
        assert!(lifecycle.is_serving(), "emptied, the process can still serve");
        lifecycle.set_stopping();
        assert!(lifecycle.is_ready() && !lifecycle.is_serving());
    }
}
