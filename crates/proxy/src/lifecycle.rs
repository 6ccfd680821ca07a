//! What both threads share: whether the process can serve, drains or stops.
//!
//! Readiness is the process's, health the door's; a stop is neither, and wins over both.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use mosshead_decide::{RecoveryBlocker, RecoveryStage};
use tokio::sync::watch;

/// How far this life has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WayBack {
    pub(crate) stage: RecoveryStage,
    pub(crate) wants: RecoveryBlocker,
    /// When it came to that,
    pub(crate) since: Instant,
    /// and when it was first in full service, if it was.
    pub(crate) full: Option<Instant>,
    /// Which life it is, where there is a folder to tell by.
    pub(crate) life: Option<u64>,
}

/// The switches, and who may look at them.
pub(crate) struct Control {
    /// Since when the proxy is being emptied.
    drain: watch::Sender<Option<Instant>>,
    ready: AtomicBool,
    stopping: AtomicBool,
    /// An operator has been told that the process can serve.
    asked: watch::Sender<bool>,
    start: Instant,
    way_back: Mutex<WayBack>,
}

impl Control {
    pub(crate) fn new() -> Arc<Self> {
        let (ready, stopping) = (AtomicBool::new(false), AtomicBool::new(false));
        let (start, drain, asked) = (Instant::now(), watch::Sender::new(None), watch::Sender::new(false));
        let way = WayBack {
            stage: RecoveryStage::NoServers,
            wants: RecoveryBlocker::Servers,
            since: start,
            full: None,
            life: None,
        };
        Arc::new(Self { drain, ready, stopping, asked, start, way_back: Mutex::new(way) })
    }

    /// How far this life has come, and when it began.
    pub(crate) fn way_back(&self) -> (WayBack, Instant) {
        (*self.way_back.lock().unwrap_or_else(PoisonError::into_inner), self.start)
    }

    /// It is the life of this number.
    pub(crate) fn set_life(&self, life: u64) {
        self.way_back.lock().unwrap_or_else(PoisonError::into_inner).life = Some(life);
    }

    /// It has come so far now; says whether that is news of the state, not of what it waits for.
    pub(crate) fn come_to(&self, stage: RecoveryStage, wants: RecoveryBlocker) -> bool {
        let mut way = self.way_back.lock().unwrap_or_else(PoisonError::into_inner);
        let news = way.stage != stage;
        if news {
            way.since = Instant::now();
        }
        if stage == RecoveryStage::FullService {
            let since = way.since;
            way.full.get_or_insert(since);
        }
        (way.stage, way.wants) = (stage, wants);
        news
    }

    /// Empties the proxy, or brings it back. Asked twice, the first time counts; says whether it changed.
    pub(crate) fn drain(&self, on: bool) -> bool {
        self.drain.send_if_modified(|since| {
            let changed = since.is_some() != on;
            if changed {
                *since = on.then(Instant::now);
            }
            changed
        })
    }

    pub(crate) fn draining(&self) -> bool {
        self.drain.borrow().is_some()
    }

    /// Reports since when the proxy is being emptied.
    pub(crate) fn drains(&self) -> watch::Receiver<Option<Instant>> {
        self.drain.subscribe()
    }

    /// There is a list to send by, or none is to be had for now.
    pub(crate) fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    pub(crate) fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// An operator is being told so.
    pub(crate) fn say_yes(&self) {
        self.asked.send_if_modified(|asked| !std::mem::replace(asked, true));
    }

    /// Reports whether an operator has been told.
    pub(crate) fn asked(&self) -> watch::Receiver<bool> {
        self.asked.subscribe()
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether this process serves whoever comes.
    pub(crate) fn serves(&self) -> bool {
        self.ready() && !self.stopping.load(Ordering::Acquire)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards calls that come twice: the first one says since when, and each way back is one.
    #[test]
    fn a_drain_counts_from_its_first_call_and_comes_back() {
        let control = Control::new();
        assert!(control.drain(true) && control.draining());
        let since = *control.drains().borrow();
        assert!(!control.drain(true) && *control.drains().borrow() == since);
        assert!(control.drain(false) && !control.drain(false) && !control.draining());
    }

    #[test]
    fn who_stops_serves_nobody_new_but_stays_ready() {
        let control = Control::new();
        assert!(!control.serves());
        control.set_ready();
        assert!(control.serves());
        control.drain(true);
        assert!(control.serves(), "emptied, the process can still serve");
        control.set_stopping();
        assert!(control.ready() && !control.serves());
    }
}
