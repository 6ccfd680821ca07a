//! A client's connection.

use std::error::Error;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    CloseReason, ConnectionLogGuard, ConnectionRecord, MAX_BUFFERED_BODY_BYTES, PeerKind, SendError,
    SendErrorKind, SendProgress, WriteProgress,
};

/// A stream that counts what the kernel has taken. Hyper does not tell, and the proof that a request never
/// ran rests on it.
struct CountingStream {
    stream: TcpStream,
    write_progress: Rc<WriteProgress>,
}

impl CountingStream {
    /// Fails where the first byte of a message must not be written.
    fn may_write(&self) -> io::Result<()> {
        // Danger: a process that was frozen finds messages of long ago in its queues.
        if self.write_progress.is_overdue() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        // Danger: bytes that came behind the last answer would be taken for the answer to this message, and
        // what is written to a connection that has ended is lost. The runtime may not know of either yet:
        // the kernel is asked itself, before the first byte.
        if !self.write_progress.has_started()
            && SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]).is_ok()
        {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.may_write()?;
        let wrote = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = wrote {
            self.write_progress.record_write(bytes.get(..count).unwrap_or(bytes));
        }
        wrote
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.may_write()?;
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        if let Poll::Ready(Ok(count)) = wrote {
            self.write_progress.record_vectored_write(parts, count);
        }
        wrote
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// How a connection is opened. A bare span of time is the one that it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectOptions {
    /// It is given up unless it is up within this time.
    pub timeout: Duration,
    /// `TCP_USER_TIMEOUT`: the kernel breaks it once what was sent has gone unacknowledged for so long.
    pub user_timeout: Option<Duration>,
}

impl From<Duration> for ConnectOptions {
    fn from(within: Duration) -> Self {
        Self { timeout: within, user_timeout: None }
    }
}

impl ConnectOptions {
    /// Sets the TCP options of an open connection; what the system does not support is left out.
    pub fn apply_to(&self, stream: &TcpStream) {
        set_tcp_options(stream, self.user_timeout);
    }
}

/// Sets the options of a TCP connection, accepted or outbound: `TCP_NODELAY`, and `TCP_USER_TIMEOUT` if there is one.
/// What the system does not support is left out, since it only makes the connection slower.
pub fn set_tcp_options(stream: &TcpStream, user_timeout: Option<Duration>) {
    // Without it the second part of a small message waits for the acknowledgement of the first.
    let _ = stream.set_nodelay(true);
    if user_timeout.is_some() {
        let _ = SockRef::from(stream).set_tcp_user_timeout(user_timeout);
    }
}

/// Why a connection did not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Nobody listens there: that does not change at once.
    Refused,
    /// The machine, or the way to it, said no.
    Unreachable,
    /// It was not up in time.
    TimedOut,
}

/// An open connection to a server, which carries requests with bodies `B`. Letting go of it closes it at once,
/// whatever is under way on it.
#[derive(Debug)]
pub struct OutboundConnection<B> {
    sender: SendRequest<B>,
    driver: JoinHandle<()>,
    /// How much of the request now on it has left.
    pub write_progress: Rc<WriteProgress>,
    /// Where the reason of its end is named.
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
    /// Opens a connection; `held` is let go of when it closes. Has to be called within a `LocalSet`.
    pub async fn open(
        side: PeerKind,
        to: SocketAddr,
        how: impl Into<ConnectOptions>,
        held: impl Sized + 'static,
    ) -> Option<Self> {
        Self::connect(side, to, how, held).await.ok()
    }

    /// As `open`, and says why it did not come up.
    pub async fn connect(
        side: PeerKind,
        to: SocketAddr,
        how: impl Into<ConnectOptions>,
        held: impl Sized + 'static,
    ) -> Result<Self, ConnectError> {
        let how = how.into();
        let line = ConnectionLogGuard::open(side, to);
        let record = line.record();
        record.set_default_close_reason(CloseReason::Abandoned);
        let stream = match timeout(how.timeout, TcpStream::connect(to)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) => {
                record.set_close_reason(CloseReason::ConnectionRefused);
                let refused = fault.kind() == io::ErrorKind::ConnectionRefused;
                return Err(if refused { ConnectError::Refused } else { ConnectError::Unreachable });
            }
            Err(_) => {
                record.set_close_reason(CloseReason::ConnectTimeout);
                return Err(ConnectError::TimedOut);
            }
        };
        how.apply_to(&stream);
        let write_progress = Rc::new(WriteProgress::default());
        let io = TokioIo::new(CountingStream { stream, write_progress: write_progress.clone() });
        let handshake = Builder::new().max_buf_size(MAX_BUFFERED_BODY_BYTES).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Unreachable)?;
        let driver = tokio::task::spawn_local(async move {
            if connection.await.is_err() {
                line.record().set_close_reason(CloseReason::ConnectionBroken);
            }
            drop((line, held));
        });
        Ok(Self { sender, driver, write_progress, record })
    }

    /// Whether it has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it can carry the next message; false if it has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether it may carry another message, found within `within`: the last one left whole, and its answer has been
    /// taken to its end with nothing behind it.
    pub async fn is_reusable(&mut self, within: Duration) -> bool {
        // Danger: an answer may come before the last byte of its request has left; what is left of that one would be
        // the start of the next.
        self.write_progress.is_complete() && timeout(within, self.ready()).await == Ok(true)
    }

    /// Sends one request, once, and reads the head of the answer, all before `deadline`. After a fault the connection
    /// is to be let go of: its answer may come yet.
    pub async fn send_with_deadline(
        &mut self,
        request: Request<B>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        let length = request.body().size_hint().exact();
        let length = length.and_then(|length| usize::try_from(length).ok()).unwrap_or(usize::MAX);
        self.write_progress.start_message(length);
        self.write_progress.set_start_deadline(deadline);
        self.record.count_message();
        let answer = timeout_at(deadline, self.sender.send_request(request)).await;
        let cause = match answer {
            // Danger: in a process that was frozen the answer and the deadline come at once. What is overdue is not
            // fresh, whatever it says.
            Ok(Ok(answer)) if Instant::now() < deadline => return Ok(answer),
            Ok(Ok(_)) | Err(_) => SendErrorKind::DeadlinePassed,
            Ok(Err(fault)) if fault.is_parse() => SendErrorKind::InvalidHttp,
            Ok(Err(_))
                if self.write_progress.progress() == SendProgress::NotStarted
                    && self.write_progress.is_overdue() =>
            {
                SendErrorKind::DeadlinePassed
            }
            Ok(Err(_)) => SendErrorKind::ConnectionLost,
        };
        Err(SendError { cause, progress: self.write_progress.progress() })
    }

    /// Sends one request, once, whose body has the length `body`, and reads the head of the answer.
    pub async fn send(&mut self, request: Request<B>, body: usize) -> hyper::Result<Response<Incoming>> {
        self.write_progress.start_message(body);
        self.record.count_message();
        self.sender.send_request(request).await
    }
}
