//! A timer with a precision of a fraction of a millisecond. The runtime's own timers round up to whole
//! milliseconds, which would make everything in the world late.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use tokio::sync::Notify;

/// Wakes its one waiter at the deadline that was set last. Owns the thread that keeps the time.
pub(crate) struct WakeTimer {
    /// `None` only while the timer is dropped: the end of the channel ends the thread.
    deadlines: Option<Sender<Instant>>,
    wake: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl WakeTimer {
    pub(crate) fn start() -> io::Result<Self> {
        let (deadlines, receiver) = channel::<Instant>();
        let wake = Arc::new(Notify::new());
        let notify = wake.clone();
        let thread = thread::Builder::new()
            .name("clock".to_owned())
            .spawn(move || notify_at_deadlines(&receiver, &notify))?;
        Ok(Self { deadlines: Some(deadlines), wake, thread: Some(thread) })
    }

    /// Sets the next deadline, in place of the one before.
    pub(crate) fn set_deadline(&self, at: Instant) {
        if let Some(deadlines) = &self.deadlines {
            // The thread ends only after the sender is dropped, so that it receives this.
            let _ = deadlines.send(at);
        }
    }

    /// Waits for the next deadline, or for [`WakeTimer::wake_now`].
    pub(crate) async fn woken(&self) {
        self.wake.notified().await;
    }

    pub(crate) fn wake_now(&self) {
        self.wake.notify_one();
    }
}

impl Drop for WakeTimer {
    fn drop(&mut self) {
        self.deadlines = None;
        if let Some(thread) = self.thread.take() {
            // The thread does not panic; if it did, there is no deadline left to miss.
            let _ = thread.join();
        }
    }
}

fn notify_at_deadlines(deadlines: &Receiver<Instant>, wake: &Notify) {
    let mut deadline: Option<Instant> = None;
    loop {
        let next = match deadline {
            None => deadlines.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(at) => deadlines.recv_timeout(at.saturating_duration_since(Instant::now())),
        };
        match next {
            Ok(at) => deadline = Some(at),
            Err(RecvTimeoutError::Timeout) => {
                deadline = None;
                wake.notify_one();
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
