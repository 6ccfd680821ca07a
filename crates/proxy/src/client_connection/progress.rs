//! What a client connection is about, and when it is to be closed.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use mosshead_http_links::CloseReason;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::IDLE_TIMEOUT;
use crate::framing::RequestFraming;

/// The time for a request head, from connecting for the first one, from its first byte for later ones.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);

/// A client that reads nothing of its response for this long is disconnected; the system's buffers may take long to empty.
pub(super) const MAX_READER_PAUSE: Duration = Duration::from_secs(30);

/// While the proxy drains, a connection that is idle or has sent nothing is closed after this.
pub(super) const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// While descriptors are scarce, a connection that has sent nothing yet is closed after this,
pub(super) const SCARCE_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);

/// one that has had its response after this,
pub(super) const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// and one that stops half way in a head after this: slow writers bring something more often.
pub(super) const SCARCE_STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The state of a connection, as far as it decides when the connection is closed.
pub(super) struct ConnectionProgress {
    /// When it came up, or gave its last answer.
    pub(super) since: Cell<Instant>,
    /// The first byte that came after that.
    pub(super) first_byte: Cell<Option<Instant>>,
    /// The last byte that came.
    pub(super) last_read: Cell<Instant>,
    /// A message's head is whole, and its answer is due.
    pub(super) is_busy: Cell<bool>,
    pub(super) has_responded: Cell<bool>,
    /// Whether descriptors are scarce.
    pub(super) is_scarce: Cell<bool>,
    /// Since when the proxy drains.
    pub(super) draining_since: Cell<Option<Instant>>,
    /// Since when the client takes no more of what is written.
    pub(super) write_blocked_since: Cell<Option<Instant>>,
    /// An answer on it has broken off.
    pub(super) response_truncated: Cell<bool>,
    pub(super) framing: RefCell<RequestFraming>,
}

impl ConnectionProgress {
    pub(super) fn new() -> Self {
        let (since, first_byte, is_busy) = (Cell::new(Instant::now()), Cell::new(None), Cell::new(false));
        let (has_responded, is_scarce, draining_since) =
            (Cell::new(false), Cell::new(false), Cell::new(None));
        let (write_blocked_since, response_truncated, framing) =
            (Cell::new(None), Cell::new(false), RefCell::new(RequestFraming::default()));
        let last_read = Cell::new(Instant::now());
        Self {
            since,
            first_byte,
            last_read,
            is_busy,
            has_responded,
            is_scarce,
            draining_since,
            write_blocked_since,
            response_truncated,
            framing,
        }
    }

    /// Records that bytes were received.
    pub(super) fn record_read(&self) {
        let now = Instant::now();
        self.last_read.set(now);
        if !self.is_busy.get() && self.first_byte.get().is_none() {
            self.first_byte.set(Some(now));
        }
    }

    /// The client has taken some of what is written, or has no room for it.
    pub(super) fn record_write(&self, some: bool) {
        if some {
            self.write_blocked_since.set(None);
            self.since.set(Instant::now());
        } else if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
        }
    }

    pub(super) fn response_finished(&self) {
        self.since.set(Instant::now());
        self.first_byte.set(None);
        self.is_busy.set(false);
        self.has_responded.set(true);
        self.is_scarce.set(false);
    }

    /// By when the head of the current request has to be complete.
    pub(super) fn head_deadline(&self) -> Instant {
        match self.first_byte.get().filter(|_| self.has_responded.get()) {
            Some(first_byte) => first_byte + HEAD_TIMEOUT,
            None => self.since.get() + HEAD_TIMEOUT,
        }
    }

    /// When the connection is to be closed if nothing comes, and why.
    pub(super) fn close_deadline(&self) -> (Instant, CloseReason) {
        // An answer that a slow reader still takes would be cut off.
        if let Some(write_blocked_since) = self.write_blocked_since.get() {
            return (write_blocked_since + MAX_READER_PAUSE, CloseReason::ResponseUnread);
        }
        let since = self.since.get();
        if let (None, Some(drain)) = (self.first_byte.get(), self.draining_since.get()) {
            return (since.max(drain) + DRAINING_IDLE_TIMEOUT, CloseReason::Draining);
        }
        match (self.first_byte.get(), self.has_responded.get(), self.is_scarce.get()) {
            (Some(_), _, true) => {
                let stalled = self.last_read.get() + SCARCE_STALL_TIMEOUT;
                (self.head_deadline().min(stalled), CloseReason::RequestTimeout)
            }
            (Some(_), _, false) => (self.head_deadline(), CloseReason::RequestTimeout),
            (None, false, false) => (self.head_deadline(), CloseReason::NoRequest),
            (None, true, false) => (since + IDLE_TIMEOUT, CloseReason::IdleTimeout),
            (None, false, true) => (since + SCARCE_FIRST_BYTE_TIMEOUT, CloseReason::DescriptorNeeded),
            (None, true, true) => (since + SCARCE_IDLE_TIMEOUT, CloseReason::DescriptorNeeded),
        }
    }
}

/// A client's stream, which tells when bytes come: hyper says nothing until a head is whole.
pub(super) struct ClientStream {
    pub(super) stream: TcpStream,
    pub(super) progress: Rc<ConnectionProgress>,
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        // Where the end of a body is the end of the connection, half an answer would look whole.
        if self.progress.response_truncated.get() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.record_read();
            self.progress.framing.borrow_mut().feed(&buf.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.progress.record_write(wrote.is_ready());
        wrote
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
