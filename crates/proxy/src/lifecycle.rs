//! The process state that both threads share: ready, draining or stopping, and the stage of recovery.
//!
//! A draining process stays ready: it serves the requests that still arrive, and only its health check fails. A
//! stopping process is not ready.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use mosshead_decide::{RecoveryStage, RecoveryStatus};
use tokio::sync::watch;

/// The recovery stage of this incarnation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryState {
    pub status: RecoveryStatus,
    /// When this stage began.
    pub stage_since: Instant,
    /// When full service was first reached; none if it was not.
    pub full_service_at: Option<Instant>,
    /// The number of this incarnation; none without a state folder.
    pub incarnation: Option<u64>,
}

/// The shared state. Each part is written by one thread and read by any.
pub struct Lifecycle {
    /// Since when the proxy drains; none if it doesn't.
    draining_since: watch::Sender<Option<Instant>>,
    is_ready: AtomicBool,
    is_stopping: AtomicBool,
    /// True if an operator has been told that the process is ready.
    readiness_confirmed: watch::Sender<bool>,
    started_at: Instant,
    recovery: Mutex<RecoveryState>,
}

impl Lifecycle {
    pub fn new() -> Arc<Self> {
        let started_at = Instant::now();
        let recovery = RecoveryState {
            status: RecoveryStatus::AT_START,
            stage_since: started_at,
            full_service_at: None,
            incarnation: None,
        };
        Arc::new(Self {
            draining_since: watch::Sender::new(None),
            is_ready: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            readiness_confirmed: watch::Sender::new(false),
            started_at,
            recovery: Mutex::new(recovery),
        })
    }

    /// When this incarnation started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// The recovery stage of this incarnation.
    pub fn recovery_state(&self) -> RecoveryState {
        *self.lock_recovery()
    }

    fn lock_recovery(&self) -> MutexGuard<'_, RecoveryState> {
        self.recovery.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the number of this incarnation.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.lock_recovery().incarnation = Some(incarnation);
    }

    /// Records the recovery stage of this incarnation. Returns true if it has changed.
    pub fn update_recovery(&self, status: RecoveryStatus) -> bool {
        let mut recovery = self.lock_recovery();
        let has_changed = recovery.status.stage != status.stage;
        if has_changed {
            recovery.stage_since = Instant::now();
        }
        if status.stage == RecoveryStage::FullService {
            let stage_since = recovery.stage_since;
            recovery.full_service_at.get_or_insert(stage_since);
        }
        recovery.status = status;
        has_changed
    }

    /// Starts to drain. Returns false if the proxy is already draining; the time of the first start then stays.
    pub fn start_draining(&self) -> bool {
        self.draining_since.send_if_modified(|since| {
            let has_changed = since.is_none();
            since.get_or_insert_with(Instant::now);
            has_changed
        })
    }

    /// Stops draining. Returns true if the proxy was draining.
    pub fn stop_draining(&self) -> bool {
        self.draining_since.send_if_modified(|since| since.take().is_some())
    }

    pub fn is_draining(&self) -> bool {
        self.draining_since.borrow().is_some()
    }

    /// Subscribes to the start time of the drain.
    pub fn subscribe_draining(&self) -> watch::Receiver<Option<Instant>> {
        self.draining_since.subscribe()
    }

    /// Marks the process as ready: it has an endpoint list, or discovery can't be reached to get one.
    pub fn set_ready(&self) {
        self.is_ready.store(true, Ordering::Release);
    }

    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    /// Records that an operator is being told that the process is ready.
    pub fn confirm_readiness(&self) {
        self.readiness_confirmed.send_if_modified(|is_confirmed| !std::mem::replace(is_confirmed, true));
    }

    /// Subscribes to whether an operator has been told that the process is ready.
    pub fn subscribe_readiness_confirmed(&self) -> watch::Receiver<bool> {
        self.readiness_confirmed.subscribe()
    }

    /// Marks the process as stopping.
    pub fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// True if this process is ready and not stopping.
    pub fn is_serving(&self) -> bool {
        self.is_ready() && !self.is_stopping.load(Ordering::Acquire)
    }
}
