//! Limits the time that the head of a request may take, from its first byte on (`header_timeout_ms`).

use std::cell::Cell;
use std::rc::Rc;

use mosshead_http_links::CountGuard;
use mosshead_time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

use crate::client_stream::ClientStream;

/// The response to a head that is not complete in time. No server has run the request.
const LATE_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// How long a connection is kept open after that response, so that unread bytes don't reset it at once.
const LATE_HEAD_LINGER: Duration = Duration::from_millis(250);
/// The bytes that are read and dropped at once meanwhile.
const DISCARD_BUFFER_BYTES: usize = 1024;

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

/// Tells the client that its head came too late, and closes the connection.
pub(crate) async fn reject_late_head(mut stream: ClientStream) {
    let rejected = async {
        stream.write_all(LATE_HEAD_RESPONSE).await?;
        stream.shutdown().await?;
        let mut unread = [0; DISCARD_BUFFER_BYTES];
        while stream.read(&mut unread).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout(LATE_HEAD_LINGER, rejected).await;
}
