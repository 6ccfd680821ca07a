//! Limits the time that the head of a request may take, from its first byte on (`header_timeout_ms`).

use std::cell::Cell;
use std::rc::Rc;

use mosshead_http_links::CountGuard;
use mosshead_time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Follows the heads of the requests on one connection. Bytes that arrive while no request is under way belong to the
/// head of the next one.
#[derive(Debug, Default)]
pub(crate) struct HeadTimer {
    /// The requests of which the body or the response is under way.
    open_requests: Rc<Cell<usize>>,
    /// When the first byte of an incomplete head arrived.
    began_at: Cell<Option<Instant>>,
    began: Notify,
}

impl HeadTimer {
    /// Records that bytes have arrived.
    pub(crate) fn record_bytes(&self) {
        if self.open_requests.get() == 0 && self.began_at.get().is_none() {
            self.began_at.set(Some(Instant::now()));
            self.began.notify_one();
        }
    }

    /// Records that a head is complete. Its request is under way until the guard is dropped.
    pub(crate) fn begin_request(&self) -> CountGuard {
        self.began_at.set(None);
        CountGuard::new(&self.open_requests, 1)
    }

    /// Completes when a head is still incomplete after `timeout`, which is asked for when the head begins.
    pub(crate) async fn wait_until_late(&self, timeout: impl Fn() -> Duration) {
        loop {
            let Some(began_at) = self.began_at.get() else {
                self.began.notified().await;
                continue;
            };
            sleep_until(began_at + timeout()).await;
            if self.began_at.get() == Some(began_at) {
                return;
            }
        }
    }
}
