//! A client's connection.

use std::error::Error;
use std::io;
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
use tokio::time::timeout;

use crate::{BODY_LIMIT, Line, Reason, Record, Side, Written};

/// A stream that counts what the kernel has taken. Hyper does not tell, and the proof that a request never
/// ran rests on it.
struct Counted {
    stream: TcpStream,
    written: Rc<Written>,
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        // Danger: bytes that came behind the last answer would be taken for the answer to this message, and
        // what is written to a connection that has ended is lost. The runtime may not know of either yet:
        // the kernel is asked itself, before the first byte.
        if !self.written.begun() && SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]).is_ok() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let wrote = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = wrote {
            self.written.count(&bytes[..count]);
        }
        wrote
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
pub struct Opening {
    /// It is given up unless it is up within this time.
    pub within: Duration,
    /// `TCP_USER_TIMEOUT`: the kernel breaks it once what was sent has gone unacknowledged for so long.
    pub user_timeout: Option<Duration>,
}

impl From<Duration> for Opening {
    fn from(within: Duration) -> Self {
        Self { within, user_timeout: None }
    }
}

impl Opening {
    /// Sets on a connection that has come up what the kernel has to know; what it does not know is left out.
    pub fn set_on(&self, stream: &TcpStream) {
        // Small messages: without this the second part of one waits for the first one's acknowledgement.
        let _ = stream.set_nodelay(true);
        if self.user_timeout.is_some() {
            let _ = SockRef::from(stream).set_tcp_user_timeout(self.user_timeout);
        }
    }
}

/// An open connection to a server, which carries requests with bodies `B`. Letting go of it closes it at once,
/// whatever is under way on it.
#[derive(Debug)]
pub struct Link<B> {
    sender: SendRequest<B>,
    driver: JoinHandle<()>,
    /// How much of the request now on it has left.
    pub written: Rc<Written>,
    /// Where the reason of its end is named.
    pub record: Rc<Record>,
}

impl<B> Drop for Link<B> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl<B> Link<B>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Opens a connection; `held` is let go of when it closes. Has to be called within a `LocalSet`.
    pub async fn open(
        side: Side,
        to: SocketAddr,
        how: impl Into<Opening>,
        held: impl Sized + 'static,
    ) -> Option<Self> {
        let how = how.into();
        let line = Line::open(side, to);
        let record = line.record();
        record.otherwise(Reason::GivenUp);
        let stream = match timeout(how.within, TcpStream::connect(to)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => {
                record.because(Reason::Refused);
                return None;
            }
            Err(_) => {
                record.because(Reason::ConnectTimeout);
                return None;
            }
        };
        how.set_on(&stream);
        let written = Rc::new(Written::default());
        let io = TokioIo::new(Counted { stream, written: written.clone() });
        let (sender, connection) = Builder::new().max_buf_size(BODY_LIMIT).handshake(io).await.ok()?;
        let driver = tokio::task::spawn_local(async move {
            if connection.await.is_err() {
                line.record().because(Reason::Broken);
            }
            drop((line, held));
        });
        Some(Self { sender, driver, written, record })
    }

    /// Whether it has ended.
    pub fn closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it can carry the next message; false if it has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends one request, once, whose body has the length `body`, and reads the head of the answer.
    pub async fn send(&mut self, request: Request<B>, body: usize) -> hyper::Result<Response<Incoming>> {
        self.written.arm(body);
        self.record.message();
        self.sender.send_request(request).await
    }
}
