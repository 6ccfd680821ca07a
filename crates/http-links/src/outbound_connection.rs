//! HTTP/1 connections that this process opens.

use std::error::Error;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::body::{MAX_BUFFERED_BODY_BYTES, MAX_HEADERS};
use crate::close_reason::CloseReason;
use crate::connection_log::{ConnectionLogGuard, ConnectionRecord, PeerKind};
use crate::hooked_stream::{HookedStream, StreamHook};
use crate::retry::{SendError, SendErrorKind, SendProgress};
use crate::tcp_options::ConnectOptions;
use crate::write_progress::WriteProgress;

/// Counts the bytes of a message that the kernel has accepted, which hyper does not report. Only this count proves that
/// a request was not executed. Also prevents the first byte of a message from being written after its deadline, or to a
/// connection that was closed or has received unexpected bytes.
struct WriteCounter(Rc<WriteProgress>);

impl StreamHook for WriteCounter {
    fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        // After a suspension, queues may contain messages whose callers have timed out.
        if self.0.is_overdue() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        // Bytes after the last response would be taken for the response to this message, and a message on a closed
        // connection would be lost. The runtime may not have noticed either yet, so the socket is checked before the
        // first byte.
        let is_first_write = !self.0.has_started();
        if is_first_write && SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    fn after_write(&self, buffers: &[IoSlice<'_>], count: usize) {
        self.0.record_vectored_write(buffers, count);
    }
}

quick_error! {
    /// Why a connection was not established.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ConnectError {
        /// Nothing listens at the address. An immediate retry is unlikely to succeed.
        Refused {
            display("connection refused")
        }
        /// The host or the network reported another error.
        Unreachable {
            display("the host can't be reached")
        }
        /// The connection was not established within the timeout.
        TimedOut {
            display("the connection was not established in time")
        }
    }
}

/// An open connection to a server, for requests with bodies `B`. Dropping it closes the connection at once and aborts
/// any exchange on it.
#[derive(Debug)]
pub struct OutboundConnection<B> {
    sender: SendRequest<B>,
    driver: JoinHandle<()>,
    /// How much of the current request was written.
    pub write_progress: Rc<WriteProgress>,
    /// The record of the connection, in which the owner sets the close reason.
    pub record: Rc<ConnectionRecord>,
}

impl<B> Drop for OutboundConnection<B> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl<B> OutboundConnection<B>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Opens a connection; `None` if it was not established. `guard` is dropped when the connection closes. Must be
    /// called within a `LocalSet`.
    pub async fn open(
        peer_kind: PeerKind,
        to: SocketAddr,
        options: impl Into<ConnectOptions>,
        guard: impl Sized + 'static,
    ) -> Option<Self> {
        Self::connect(peer_kind, to, options, guard).await.ok()
    }

    /// Opens a connection as [`OutboundConnection::open`] does, and returns the reason of a failure.
    ///
    /// # Errors
    ///
    /// The connection was not established.
    pub async fn connect(
        peer_kind: PeerKind,
        to: SocketAddr,
        options: impl Into<ConnectOptions>,
        guard: impl Sized + 'static,
    ) -> Result<Self, ConnectError> {
        let options = options.into();
        let log_guard = ConnectionLogGuard::open(peer_kind, to);
        let record = log_guard.record();
        record.set_default_close_reason(CloseReason::Abandoned);
        let stream = connect_stream(to, options.timeout, &record).await?;
        options.apply_to(&stream);
        let write_progress = Rc::new(WriteProgress::default());
        let io = TokioIo::new(HookedStream::new(stream, WriteCounter(write_progress.clone())));
        let handshake =
            Builder::new().max_buf_size(MAX_BUFFERED_BODY_BYTES).max_headers(MAX_HEADERS).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Unreachable)?;
        let driver = tokio::task::spawn_local(async move {
            if connection.await.is_err() {
                log_guard.record().set_close_reason(CloseReason::ConnectionBroken);
            }
            drop((log_guard, guard));
        });
        Ok(Self { sender, driver, write_progress, record })
    }

    /// True if the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the last response was read completely and the connection can carry the next message; false if the
    /// connection has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// True if the connection may carry another message: the last one was written completely, and within `max_wait` the
    /// connection is ready, with its response read completely and no bytes after it.
    pub async fn is_reusable(&mut self, max_wait: Duration) -> bool {
        // A response may arrive before the last byte of its request was written. The peer would then take the rest of
        // that request for the beginning of the next one.
        self.write_progress.is_complete() && timeout(max_wait, self.ready()).await == Ok(true)
    }

    /// Sends a request once and reads the head of its response before `deadline`.
    ///
    /// # Errors
    ///
    /// The exchange failed, or no response arrived in time. The connection must be dropped, since the response may
    /// still arrive.
    pub async fn send_with_deadline(
        &mut self,
        request: Request<B>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        let body_length = request.body().size_hint().exact();
        // Nobody marks the end of a body of unknown length here, so that its message counts as complete with its head.
        let body_length = body_length.and_then(|length| usize::try_from(length).ok()).unwrap_or(0);
        self.write_progress.start_message(body_length);
        self.write_progress.set_start_deadline(deadline);
        self.record.count_message();
        let sent = timeout_at(deadline, self.sender.send_request(request)).await;
        let kind = match sent {
            // After a suspension, the response and the passed deadline may be noticed together. The response may then
            // be out of date.
            Ok(Ok(response)) if Instant::now() < deadline => return Ok(response),
            Ok(Ok(_)) | Err(_) => SendErrorKind::DeadlinePassed,
            Ok(Err(error)) => self.send_error_kind(&error),
        };
        Err(SendError { kind, progress: self.write_progress.progress() })
    }

    fn send_error_kind(&self, error: &hyper::Error) -> SendErrorKind {
        if error.is_parse() {
            return SendErrorKind::InvalidHttp;
        }
        if self.write_progress.progress() == SendProgress::NotStarted && self.write_progress.is_overdue() {
            return SendErrorKind::DeadlinePassed;
        }
        SendErrorKind::ConnectionLost
    }

    /// Sends a request once, with a body of this length in bytes, and reads the head of its response. There is no
    /// deadline: the caller limits the time.
    ///
    /// # Errors
    ///
    /// The exchange failed without a response.
    pub async fn send(
        &mut self,
        request: Request<B>,
        body_length: usize,
    ) -> hyper::Result<Response<Incoming>> {
        self.write_progress.start_message(body_length);
        self.record.count_message();
        self.sender.send_request(request).await
    }
}

/// Establishes a TCP connection. Sets the close reason if that fails.
async fn connect_stream(
    to: SocketAddr,
    connect_timeout: Duration,
    record: &ConnectionRecord,
) -> Result<TcpStream, ConnectError> {
    match timeout(connect_timeout, TcpStream::connect(to)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            record.set_close_reason(CloseReason::ConnectionRefused);
            let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
            Err(if is_refused { ConnectError::Refused } else { ConnectError::Unreachable })
        }
        Err(_) => {
            record.set_close_reason(CloseReason::ConnectTimeout);
            Err(ConnectError::TimedOut)
        }
    }
}
