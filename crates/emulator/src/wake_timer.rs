//! A clock that wakes the runtime to within a fraction of a millisecond: the runtime's own timers round up to
//! whole ones, which would make everything in the world late.

use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::time::Instant;

use tokio::sync::Notify;

/// Wakes whoever waits at the instant asked for last.
pub(crate) struct Clock {
    ask: Sender<Instant>,
    woken: Arc<Notify>,
}

impl Clock {
    pub(crate) fn start() -> std::io::Result<Self> {
        let (ask, asked) = channel::<Instant>();
        let woken = Arc::new(Notify::new());
        let bell = woken.clone();
        let run = move || {
            let mut due: Option<Instant> = None;
            loop {
                let next = match due {
                    None => asked.recv().map_err(|_| RecvTimeoutError::Disconnected),
                    Some(at) => asked.recv_timeout(at.saturating_duration_since(Instant::now())),
                };
                match next {
                    Ok(at) => due = Some(at),
                    Err(RecvTimeoutError::Timeout) => {
                        due = None;
                        bell.notify_one();
                    }
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        };
        std::thread::Builder::new().name("clock".to_owned()).spawn(run)?;
        Ok(Self { ask, woken })
    }

    /// The next waking, in place of the one asked for before.
    pub(crate) fn set(&self, at: Instant) {
        // The thread lives as long as this does.
        let _ = self.ask.send(at);
    }

    /// Waits for the next waking.
    pub(crate) async fn woken(&self) {
        self.woken.notified().await;
    }

    /// Wakes at once.
    pub(crate) fn ring(&self) {
        self.woken.notify_one();
    }
}
