//! Tracks the state of a client connection to decide when to close it.

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

use crate::framing::RequestFraming;

/// The idle timeout of a connection without an open message.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The timeout for the head of a request: for the first one from the connect, for later ones from their first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that reads nothing of its response for this long is disconnected. It is long because the kernel's buffers
/// may take long to drain.
const MAX_READER_PAUSE: Duration = Duration::from_secs(30);
/// While the proxy drains, a connection that is idle or has sent nothing is closed after this.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Once the proxy stops, a connection that has sent nothing yet is closed after this: its request may be on its way.
const STOPPING_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(500);
/// While descriptors are scarce, a connection that has sent nothing yet is closed after this.
const SCARCE_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);
/// While descriptors are scarce, a connection that has received its response is closed after this.
const SCARCE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// While descriptors are scarce, a connection that stalls within a head is closed after this. Clients that send slowly
/// still send something more often.
const SCARCE_STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The state of a connection that determines when it is closed.
pub(super) struct ConnectionProgress {
    /// The latest of: the accept, the end of the last response, and the last time the client took part of a response.
    idle_since: Cell<Instant>,
    /// When the first byte of the next message arrived; none before that.
    first_byte: Cell<Option<Instant>>,
    /// When the last byte arrived.
    last_read: Cell<Instant>,
    /// True if the head of a message is complete and its response is pending.
    is_busy: Cell<bool>,
    has_responded: Cell<bool>,
    /// True if descriptors are scarce.
    is_scarce: Cell<bool>,
    /// Since when the proxy drains; none if it doesn't.
    draining_since: Cell<Option<Instant>>,
    /// Since when the proxy stops; none if it doesn't.
    stopping_since: Cell<Option<Instant>>,
    /// Since when the client has accepted no more data; none while it accepts data.
    write_blocked_since: Cell<Option<Instant>>,
    /// True if a response was cut off before its end.
    is_response_truncated: Cell<bool>,
    framing: RefCell<RequestFraming>,
}

impl ConnectionProgress {
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            idle_since: Cell::new(now),
            first_byte: Cell::new(None),
            last_read: Cell::new(now),
            is_busy: Cell::new(false),
            has_responded: Cell::new(false),
            is_scarce: Cell::new(false),
            draining_since: Cell::new(None),
            stopping_since: Cell::new(None),
            write_blocked_since: Cell::new(None),
            is_response_truncated: Cell::new(false),
            framing: RefCell::new(RequestFraming::default()),
        }
    }

    /// Records that the head of a message is complete. Returns true if it states both framings of a body.
    pub(super) fn request_started(&self) -> bool {
        self.is_busy.set(true);
        self.framing.borrow_mut().next_has_both_framings()
    }

    /// Records that the response was forwarded completely, or that it was cut off.
    pub(super) fn response_ended(&self, is_complete: bool) {
        self.idle_since.set(Instant::now());
        self.first_byte.set(None);
        self.is_busy.set(false);
        self.has_responded.set(true);
        self.is_response_truncated.set(!is_complete);
    }

    pub(super) fn set_scarce(&self, is_scarce: bool) {
        self.is_scarce.set(is_scarce);
    }

    pub(super) fn set_draining_since(&self, since: Option<Instant>) {
        self.draining_since.set(since);
    }

    /// Records that the proxy stops.
    pub(super) fn set_stopping(&self) {
        self.stopping_since.set(Some(Instant::now()));
    }

    /// True if the client has sent nothing yet.
    pub(super) fn awaits_first_byte(&self) -> bool {
        self.first_byte.get().is_none() && !self.has_responded.get()
    }

    /// Records that the client has sent bytes.
    fn record_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.last_read.set(now);
        if !self.is_busy.get() && self.first_byte.get().is_none() {
            self.first_byte.set(Some(now));
        }
        self.framing.borrow_mut().feed(bytes);
    }

    /// Records that the client has taken part of the written data, or that its buffers are full.
    fn record_write(&self, was_taken: bool) {
        if was_taken {
            self.write_blocked_since.set(None);
            self.idle_since.set(Instant::now());
        } else if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
        }
    }

    /// True if a request is in flight and its client still reads: the connection must not be closed.
    fn must_stay_open(&self) -> bool {
        self.is_busy.get() && self.write_blocked_since.get().is_none()
    }

    /// When to check next for a reason to close the connection.
    pub(super) fn next_close_check(&self) -> Instant {
        if self.must_stay_open() { Instant::now() + IDLE_TIMEOUT } else { self.close_deadline().0 }
    }

    /// The reason to close the connection now, if there is one.
    pub(super) fn due_close_reason(&self, now: Instant) -> Option<CloseReason> {
        let (deadline, reason) = self.close_deadline();
        (!self.must_stay_open() && deadline <= now).then_some(reason)
    }

    /// The deadline for the head of the current request.
    fn head_deadline(&self) -> Instant {
        match self.first_byte.get().filter(|_| self.has_responded.get()) {
            Some(first_byte) => first_byte + HEAD_TIMEOUT,
            None => self.idle_since.get() + HEAD_TIMEOUT,
        }
    }

    /// When the connection is to be closed if nothing arrives, and why.
    fn close_deadline(&self) -> (Instant, CloseReason) {
        // A response must not be cut off while a slow client still reads it.
        if let Some(write_blocked_since) = self.write_blocked_since.get() {
            return (write_blocked_since + MAX_READER_PAUSE, CloseReason::ResponseUnread);
        }
        let idle_since = self.idle_since.get();
        if let Some(stopping_since) = self.stopping_since.get().filter(|_| self.awaits_first_byte()) {
            let deadline = idle_since.max(stopping_since) + STOPPING_FIRST_BYTE_TIMEOUT;
            return (deadline, CloseReason::ShuttingDown);
        }
        if let (None, Some(draining_since)) = (self.first_byte.get(), self.draining_since.get()) {
            return (idle_since.max(draining_since) + DRAINING_IDLE_TIMEOUT, CloseReason::Draining);
        }
        match (self.first_byte.get(), self.has_responded.get(), self.is_scarce.get()) {
            (Some(_), _, true) => {
                let stall_deadline = self.last_read.get() + SCARCE_STALL_TIMEOUT;
                (self.head_deadline().min(stall_deadline), CloseReason::RequestTimeout)
            }
            (Some(_), _, false) => (self.head_deadline(), CloseReason::RequestTimeout),
            (None, false, false) => (self.head_deadline(), CloseReason::NoRequest),
            (None, true, false) => (idle_since + IDLE_TIMEOUT, CloseReason::IdleTimeout),
            (None, false, true) => (idle_since + SCARCE_FIRST_BYTE_TIMEOUT, CloseReason::DescriptorNeeded),
            (None, true, true) => (idle_since + SCARCE_IDLE_TIMEOUT, CloseReason::DescriptorNeeded),
        }
    }
}

/// A client's stream that records when bytes arrive, since hyper reports nothing until a head is complete.
pub(super) struct ClientStream {
    pub(super) stream: TcpStream,
    pub(super) progress: Rc<ConnectionProgress>,
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        // If the end of the connection marks the end of the body, a truncated response would look complete, so the
        // connection is reset.
        if self.progress.is_response_truncated.get() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.record_read(&buf.filled()[before..]);
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
