//! Bodies: held whole while they are small, passed on as they come beyond that.
//!
//! A body that flows is hyper's own, polled through: nothing is read from one side that the other does not take.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Sleep, sleep_until, timeout_at};

use crate::messages::Message;
use mosshead_decide::interface::RequestId;
use mosshead_http_links::{BodyError, MAX_BUFFERED_BODY_BYTES, WriteProgress};

/// An open connection to a server, or to the endpoint list.
pub type OutboundConnection = mosshead_http_links::OutboundConnection<OutgoingBody>;

/// The most that a body holds that flows.
pub const MAX_STREAMED_BODY_BYTES: u64 = 33 * 1024 * 1024;
/// A sender may rest for so long,
const MAX_SENDER_PAUSE: Duration = Duration::from_millis(2000);
/// and has to bring so many bytes for each further second.
const MIN_BYTES_PER_SECOND: f64 = 16.0 * 1024.0;
/// A server that has begun its answer may rest for so long.
const MAX_SERVER_PAUSE: Duration = Duration::from_secs(10);

/// How long a sender has been waited for. Only that counts: not what the other side takes.
#[derive(Debug)]
struct SenderPace {
    waited: Duration,
    since: Option<Instant>,
    bytes: u64,
}

impl SenderPace {
    fn new() -> Self {
        Self { waited: Duration::ZERO, since: None, bytes: 0 }
    }

    /// When the sender, waited for from now or before, is too slow.
    fn deadline(&mut self) -> Instant {
        let since = *self.since.get_or_insert_with(Instant::now);
        let left = MAX_SENDER_PAUSE + Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_SECOND);
        since + MAX_SENDER_PAUSE.min(left.saturating_sub(self.waited))
    }

    fn record_received(&mut self, bytes: usize) {
        self.waited += self.since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.bytes += bytes as u64;
    }
}

/// The start of a body: all of it, or what has come when it proved to be large.
pub enum BodyStart {
    Complete(Bytes),
    Partial(Bytes, Incoming),
}

/// Reads a body until it ends or is too large to be held; `timeout_for_end` bounds the wait for the end of a small one.
pub async fn read_start(
    mut body: Incoming,
    timeout_for_end: Option<Duration>,
) -> Result<BodyStart, BodyError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_STREAMED_BODY_BYTES) {
        return Err(BodyError::TooLong);
    }
    if length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64) {
        return Ok(BodyStart::Partial(Bytes::new(), body));
    }
    let (mut held, mut pace) = (BytesMut::new(), SenderPace::new());
    let until =
        timeout_for_end.filter(|_| length.is_none()).map(|timeout_for_end| Instant::now() + timeout_for_end);
    loop {
        let limit = until.unwrap_or_else(|| pace.deadline());
        let frame = match timeout_at(limit.into(), body.frame()).await {
            Ok(None) => return Ok(BodyStart::Complete(held.freeze())),
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Interrupted)?,
            Err(_) if until.is_some() => return Ok(BodyStart::Partial(held.freeze(), body)),
            Err(_) => return Err(BodyError::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            pace.record_received(data.len());
            held.extend_from_slice(&data);
            if held.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(BodyStart::Partial(held.freeze(), body));
            }
        }
    }
}

/// A client's large body.
pub struct Upload {
    start: Bytes,
    /// Until an attempt takes it; back again where nothing was read of it.
    rest: RefCell<Option<Incoming>>,
    length: Option<u64>,
    /// When its last byte had come, and when any was last passed on.
    completed_at: Cell<Option<Instant>>,
    last_progress: Cell<Instant>,
    notify: RefCell<Option<(UnboundedSender<Message>, RequestId)>>,
}

impl std::fmt::Debug for Upload {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(to, "a body of {:?}", self.length)
    }
}

impl Upload {
    pub fn new(start: Bytes, rest: Incoming) -> Rc<Self> {
        let length = rest.size_hint().exact().map(|rest| rest + start.len() as u64);
        let (rest, notify) = (RefCell::new(Some(rest)), RefCell::default());
        let last_progress = Cell::new(Instant::now());
        Rc::new(Self { start, rest, length, completed_at: Cell::new(None), last_progress, notify })
    }

    /// Whom to tell of its last byte.
    pub fn notify(&self, notify: UnboundedSender<Message>, request: RequestId) {
        self.notify.replace(Some((notify, request)));
    }

    /// Whether another attempt has begun to read it.
    pub fn is_spent(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// The body for one attempt; none where it can't be sent once more.
    pub fn stream_to(self: &Rc<Self>, write_progress: Rc<WriteProgress>) -> Option<OutgoingBody> {
        let rest = self.rest.borrow_mut().take()?;
        let start = Some(self.start.clone()).filter(|start| !start.is_empty());
        let (upload, pace, timer) = (self.clone(), SenderPace::new(), None);
        Some(OutgoingBody::Upload(Box::new(UploadStream {
            upload,
            start,
            rest: Some(rest),
            started: false,
            pace,
            timer,
            write_progress,
        })))
    }

    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// When its last byte had come.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// When any of it was last passed on.
    pub fn last_progress(&self) -> Instant {
        self.last_progress.get()
    }

    fn finish(&self) {
        if self.completed_at.get().is_none() {
            self.completed_at.set(Some(Instant::now()));
            if let Some((notify, request)) = self.notify.borrow_mut().take() {
                let _ = notify.send(Message::BodyReceived(request));
            }
        }
    }
}

/// An upload on its way to a server.
pub struct UploadStream {
    upload: Rc<Upload>,
    start: Option<Bytes>,
    rest: Option<Incoming>,
    started: bool,
    pace: SenderPace,
    timer: Option<Pin<Box<Sleep>>>,
    write_progress: Rc<WriteProgress>,
}

impl Drop for UploadStream {
    fn drop(&mut self) {
        if !self.started {
            self.upload.rest.replace(self.rest.take());
        }
    }
}

/// What the client's connection wants to know of an answer's end: whether it was whole.
type OnBodyEnd = Box<dyn FnOnce(bool)>;

/// Where a connection goes that has carried an answer.
type OnConnectionFree = Box<dyn FnOnce(OutboundConnection)>;

/// A large answer on its way to the client.
pub struct DownloadStream {
    start: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    forwarded: u64,
    timer: Option<Pin<Box<Sleep>>>,
    /// Where the connection goes once the answer has been taken off it.
    link: Option<(OutboundConnection, OnConnectionFree)>,
    on_end: Option<OnBodyEnd>,
}

impl Drop for DownloadStream {
    fn drop(&mut self) {
        self.finish(false);
    }
}

impl DownloadStream {
    fn finish(&mut self, is_complete: bool) {
        if let Some((link, on_connection_free)) = self.link.take()
            && is_complete
        {
            on_connection_free(link);
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
        }
    }
}

/// A body as this proxy sends it.
pub enum OutgoingBody {
    Buffered(Full<Bytes>),
    Upload(Box<UploadStream>),
    Download(Box<DownloadStream>),
}

impl std::fmt::Debug for OutgoingBody {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        to.write_str(if matches!(self, OutgoingBody::Buffered(_)) {
            "a whole body"
        } else {
            "a body that flows"
        })
    }
}

impl From<Bytes> for OutgoingBody {
    fn from(bytes: Bytes) -> Self {
        OutgoingBody::Buffered(Full::new(bytes))
    }
}

impl OutgoingBody {
    /// A server's large answer; its connection goes to `on_connection_free` when the whole answer has been passed on.
    pub fn download(
        start: Bytes,
        rest: Incoming,
        link: OutboundConnection,
        on_connection_free: impl FnOnce(OutboundConnection) + 'static,
    ) -> Self {
        let length = rest.size_hint().exact().map(|rest| rest + start.len() as u64);
        let start = Some(start).filter(|start| !start.is_empty());
        let link: Option<(OutboundConnection, OnConnectionFree)> = Some((link, Box::new(on_connection_free)));
        OutgoingBody::Download(Box::new(DownloadStream {
            start,
            rest,
            length,
            forwarded: 0,
            timer: None,
            link,
            on_end: None,
        }))
    }

    /// Tells `on_end` when the last of it has been passed on, or never will be. A whole one has ended at once.
    pub fn on_end(&mut self, on_end: impl FnOnce(bool) + 'static) {
        match self {
            OutgoingBody::Download(down) => down.on_end = Some(Box::new(on_end)),
            _ => on_end(true),
        }
    }
}

/// The next frame, or a fault where none comes before `limit`.
fn poll_data(
    rest: &mut Incoming,
    timer: &mut Option<Pin<Box<Sleep>>>,
    limit: impl FnOnce() -> Instant,
    cx: &mut Context,
) -> Poll<Option<io::Result<Bytes>>> {
    loop {
        match Pin::new(&mut *rest).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                // Trailers end with the connection that they came on.
                if let Ok(data) = frame.into_data() {
                    *timer = None;
                    return Poll::Ready(Some(Ok(data)));
                }
            }
            Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(io::Error::other(error)))),
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Pending => {
                let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(limit().into())));
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
            }
        }
    }
}

impl UploadStream {
    fn next(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        self.upload.last_progress.set(Instant::now());
        if let Some(start) = self.start.take() {
            self.pace.bytes += start.len() as u64;
            return Poll::Ready(Some(Ok(start)));
        }
        self.started = true;
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let next = ready!(poll_data(rest, &mut self.timer, || self.pace.deadline(), cx));
        match &next {
            Some(Ok(data)) => {
                self.pace.record_received(data.len());
                if self.pace.bytes > MAX_STREAMED_BODY_BYTES {
                    return Poll::Ready(Some(Err(io::Error::other("the body is too long"))));
                }
            }
            // Its last byte is about to leave; from now on it may run.
            None => {
                self.write_progress.mark_complete();
                self.upload.finish();
            }
            Some(Err(_)) => {}
        }
        if self.upload.length == Some(self.pace.bytes) {
            self.upload.finish();
        }
        Poll::Ready(next)
    }
}

impl DownloadStream {
    fn next(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        let next = match self.start.take() {
            Some(start) => Some(Ok(start)),
            None => {
                ready!(poll_data(&mut self.rest, &mut self.timer, || Instant::now() + MAX_SERVER_PAUSE, cx))
            }
        };
        match &next {
            Some(Ok(data)) => {
                self.forwarded += data.len() as u64;
                if self.forwarded > MAX_STREAMED_BODY_BYTES {
                    return Poll::Ready(Some(Err(io::Error::other("the answer is too long"))));
                }
                // With the last byte of a known length hyper asks no further.
                if self.length == Some(self.forwarded) {
                    self.finish(true);
                }
            }
            None => self.finish(true),
            Some(Err(_)) => self.finish(false),
        }
        Poll::Ready(next)
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let next = match self.get_mut() {
            OutgoingBody::Buffered(buffered) => {
                return Pin::new(buffered).poll_frame(cx).map_err(|never| match never {});
            }
            OutgoingBody::Upload(up) => ready!(up.next(cx)),
            OutgoingBody::Download(down) => ready!(down.next(cx)),
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Buffered(buffered) => buffered.is_end_stream(),
            _ => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        let length = match self {
            OutgoingBody::Buffered(buffered) => return buffered.size_hint(),
            OutgoingBody::Upload(up) => up.upload.length.map(|length| length - up.pace.bytes.min(length)),
            OutgoingBody::Download(down) => down.length.map(|length| length - down.forwarded.min(length)),
        };
        length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
