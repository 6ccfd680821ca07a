//! The little that every HTTP party here shares.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::connection_log::{Line, Reason, Record, Side};
use crate::flow::Flow;
use mosshead_decide::interface::LoadReport;

/// What a submitter names a keyed job by; repeats of one key are one job to the execute nodes of a group.
pub(crate) const KEY: &str = "idempotency-key";
/// The most of a body that is held.
pub(crate) const BODY_LIMIT: usize = 64 * 1024;

/// Why a body could not be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFault {
    TooLong,
    Broken,
    /// It did not come fast enough.
    Late,
    /// Its length is not given, or twice.
    Unframed,
}

/// The whole body, within `limit`.
pub(crate) async fn whole(body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyFault::TooLong);
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyFault::TooLong),
        Err(_) => Err(BodyFault::Broken),
    }
}

/// A load report as `name=value,name=value`; what is not understood is left out.
pub(crate) fn load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0);
        match name.trim() {
            "inflight" => report.in_flight = value,
            "queue" => report.queue = value,
            _ => {}
        }
    }
    report
}

/// How much of the message now on a connection has left for the kernel.
#[derive(Debug, Default)]
pub(crate) struct Written {
    begun: Cell<bool>,
    matched: Cell<usize>,
    body_left: Cell<usize>,
    whole: Cell<bool>,
}

impl Written {
    /// A new message follows, whose body has this length.
    pub(crate) fn arm(&self, body: usize) {
        self.begun.set(false);
        self.matched.set(0);
        self.body_left.set(body);
        self.whole.set(false);
    }

    /// Whether any byte of it has been handed to the kernel.
    pub(crate) fn begun(&self) -> bool {
        self.begun.get()
    }

    /// Whether the last byte has been handed to the kernel: from then on the job may run.
    pub(crate) fn whole(&self) -> bool {
        self.whole.get()
    }

    /// The last of a body whose length was not known is about to leave.
    pub(crate) fn ended(&self) {
        self.whole.set(true);
    }

    fn count(&self, bytes: &[u8]) {
        const END: &[u8] = b"\r\n\r\n";
        self.begun.set(self.begun.get() || !bytes.is_empty());
        let mut at = 0;
        while at < bytes.len() && self.matched.get() < END.len() {
            let expected = END[self.matched.get()];
            let next =
                if bytes[at] == expected { self.matched.get() + 1 } else { usize::from(bytes[at] == b'\r') };
            self.matched.set(next);
            at += 1;
        }
        if self.matched.get() == END.len() {
            self.body_left.set(self.body_left.get().saturating_sub(bytes.len() - at));
            self.whole.set(self.whole.get() || self.body_left.get() == 0);
        }
    }
}

/// A stream that counts what the kernel has taken. Hyper does not tell, and the proof that a job never
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

/// An open connection to a server. Letting go of it closes it at once, whatever is under way on it.
pub(crate) struct Link {
    sender: SendRequest<Flow>,
    driver: JoinHandle<()>,
    pub(crate) written: Rc<Written>,
    pub(crate) record: Rc<Record>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    /// Opens a connection within `within`; `held` is let go of when it closes.
    pub(crate) async fn open(
        side: Side,
        to: SocketAddr,
        within: Duration,
        held: impl Sized + 'static,
    ) -> Option<Self> {
        let line = Line::open(side, to);
        let record = line.record();
        record.otherwise(Reason::GivenUp);
        let stream = match timeout(within, TcpStream::connect(to)).await {
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
        // Small messages: without this the second part of one waits for the first one's acknowledgement.
        let _ = stream.set_nodelay(true);
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

    pub(crate) fn closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it can carry the next message; false if it has ended.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends one request, once, and reads the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: hyper::Request<Flow>,
        body: usize,
    ) -> hyper::Result<hyper::Response<Incoming>> {
        self.written.arm(body);
        self.record.message();
        self.sender.send_request(request).await
    }
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};

    use rstest::rstest;
    use tokio::task::LocalSet;

    use super::*;

    /// Guards the proof that a job never ran: it holds until the very last byte, however writes are cut.
    #[test]
    fn a_message_is_whole_with_its_last_byte_only() {
        for cut in 1..30 {
            let written = Written::default();
            written.arm(5);
            let message = b"POST / HTTP/1.1\r\na: \r\r\n\r\nabcde";
            let (all_but_one, last) = message.split_at(message.len() - 1);
            for part in all_but_one.chunks(cut) {
                written.count(part);
                assert!(!written.whole());
            }
            written.count(last);
            assert!(written.whole());
            written.arm(0);
            assert!(!written.whole());
        }
    }

    #[test]
    fn a_load_report_is_read_as_far_as_it_makes_sense() {
        let report = load_report("qps=3, inflight=7,queue=-2,util,queue=nan");
        assert_eq!(report, LoadReport { in_flight: Some(7.0), queue: None });
    }

    /// Danger: bytes behind an answer that come just before the next message, unseen by the runtime yet, would
    /// be that one's answer; and what is written to a connection that has just ended is lost.
    #[rstest]
    #[case::leftovers(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nbad")]
    #[case::its_end(b"")]
    fn nothing_is_written_behind_what_came_unasked(#[case] unasked: &[u8]) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let to = listener.local_addr().expect("an address");
            let link = Link::open(Side::ExecuteNode, to, Duration::from_secs(5), ()).await;
            let (mut link, (mut node, _)) = (link.expect("a connection"), listener.accept().expect("it"));
            assert!(link.ready().await);
            match unasked {
                b"" => node.shutdown(std::net::Shutdown::Write).expect("its end"),
                unasked => node.write_all(unasked).expect("room"),
            }
            let request = hyper::Request::get("/").body(Flow::from(Bytes::new())).expect("a request");
            assert!(link.send(request, 0).await.is_err() && !link.written.begun());
            drop(link);
            tokio::task::yield_now().await;
            assert!(!matches!(node.read(&mut [0; 9]), Ok(1..)));
        });
    }
}
