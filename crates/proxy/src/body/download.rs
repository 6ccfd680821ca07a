//! A large response of a server, forwarded while it arrives.

use std::io;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use super::frames::{PollTimer, poll_data};
use super::{MAX_STREAMED_BODY_BYTES, OutboundConnection};

/// The maximum pause of a server within its response.
const MAX_SERVER_PAUSE: Duration = Duration::from_secs(10);

/// Called when a response has ended, with true if all of it was forwarded.
pub(super) type OnBodyEnd = Box<dyn FnOnce(bool)>;
/// Called with the connection once a response has been read from it completely.
type OnConnectionFree = Box<dyn FnOnce(OutboundConnection)>;

/// The connection that a response arrives on.
struct BusyConnection {
    connection: OutboundConnection,
    on_free: OnConnectionFree,
}

/// A large response on its way to the client.
pub struct DownloadStream {
    /// The buffered start of the response, until it is forwarded.
    start: Option<Bytes>,
    rest: Incoming,
    /// The total length, if it is stated.
    length: Option<u64>,
    forwarded: u64,
    timer: PollTimer,
    /// None once the response has ended.
    connection: Option<BusyConnection>,
    on_end: Option<OnBodyEnd>,
}

impl Drop for DownloadStream {
    fn drop(&mut self) {
        self.finish(false);
    }
}

impl DownloadStream {
    pub(super) fn new(
        start: Bytes,
        rest: Incoming,
        connection: OutboundConnection,
        on_connection_free: impl FnOnce(OutboundConnection) + 'static,
    ) -> Self {
        let length = rest.size_hint().exact().map(|rest| rest + start.len() as u64);
        Self {
            start: Some(start).filter(|start| !start.is_empty()),
            rest,
            length,
            forwarded: 0,
            timer: None,
            connection: Some(BusyConnection { connection, on_free: Box::new(on_connection_free) }),
            on_end: None,
        }
    }

    pub(super) fn set_on_end(&mut self, on_end: OnBodyEnd) {
        self.on_end = Some(on_end);
    }

    fn finish(&mut self, is_complete: bool) {
        if let Some(BusyConnection { connection, on_free }) = self.connection.take()
            && is_complete
        {
            on_free(connection);
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
        }
    }

    pub(super) fn poll_next(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        let next = match self.start.take() {
            Some(start) => Some(Ok(start)),
            None => {
                let deadline = || Instant::now() + MAX_SERVER_PAUSE;
                ready!(poll_data(&mut self.rest, &mut self.timer, deadline, cx))
            }
        };
        match &next {
            Some(Ok(data)) => {
                self.forwarded += data.len() as u64;
                if self.forwarded > MAX_STREAMED_BODY_BYTES {
                    return Poll::Ready(Some(Err(io::Error::other("the answer is too long"))));
                }
                // Hyper does not poll again after the last byte of a stated length.
                if self.length == Some(self.forwarded) {
                    self.finish(true);
                }
            }
            None => self.finish(true),
            Some(Err(_)) => self.finish(false),
        }
        Poll::Ready(next)
    }

    /// The number of bytes still to be forwarded, if the length is stated.
    pub(super) fn remaining(&self) -> Option<u64> {
        self.length.map(|length| length - self.forwarded.min(length))
    }
}
