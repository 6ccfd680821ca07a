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

use crate::load_report::OutboundConnection;
use crate::messages::Mail;
use mosshead_decide::interface::RequestId;
use mosshead_http_links::{BodyError, MAX_BUFFERED_BODY_BYTES, WriteProgress};

/// The most that a body holds that flows.
pub(crate) const FLOW_LIMIT: u64 = 33 * 1024 * 1024;
/// A sender may rest for so long,
const REST: Duration = Duration::from_millis(2000);
/// and has to bring so many bytes for each further second.
const PACE: f64 = 16.0 * 1024.0;
/// An execute node that has begun its answer may rest for so long.
const NODE_REST: Duration = Duration::from_secs(10);

/// How long a sender has been waited for. Only that counts: not what the other side takes.
#[derive(Debug)]
struct Pace {
    waited: Duration,
    since: Option<Instant>,
    bytes: u64,
}

impl Pace {
    fn new() -> Self {
        Self { waited: Duration::ZERO, since: None, bytes: 0 }
    }

    /// When the sender, waited for from now or before, is too slow.
    fn limit(&mut self) -> Instant {
        let since = *self.since.get_or_insert_with(Instant::now);
        let left = REST + Duration::from_secs_f64(self.bytes as f64 / PACE);
        since + REST.min(left.saturating_sub(self.waited))
    }

    fn came(&mut self, bytes: usize) {
        self.waited += self.since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.bytes += bytes as u64;
    }
}

/// The start of a body: all of it, or what has come when it proved to be large.
pub(crate) enum Start {
    Whole(Bytes),
    More(Bytes, Incoming),
}

/// Reads a body until it ends or is too large to be held; `patience` bounds the wait for the end of a small one.
pub(crate) async fn start(mut body: Incoming, patience: Option<Duration>) -> Result<Start, BodyError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > FLOW_LIMIT) {
        return Err(BodyError::TooLong);
    }
    if length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64) {
        return Ok(Start::More(Bytes::new(), body));
    }
    let (mut held, mut pace) = (BytesMut::new(), Pace::new());
    let until = patience.filter(|_| length.is_none()).map(|patience| Instant::now() + patience);
    loop {
        let limit = until.unwrap_or_else(|| pace.limit());
        let frame = match timeout_at(limit.into(), body.frame()).await {
            Ok(None) => return Ok(Start::Whole(held.freeze())),
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Interrupted)?,
            Err(_) if until.is_some() => return Ok(Start::More(held.freeze(), body)),
            Err(_) => return Err(BodyError::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            pace.came(data.len());
            held.extend_from_slice(&data);
            if held.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(Start::More(held.freeze(), body));
            }
        }
    }
}

/// A submitter's large body.
pub(crate) struct Upload {
    start: Bytes,
    /// Until an attempt takes it; back again where nothing was read of it.
    rest: RefCell<Option<Incoming>>,
    length: Option<u64>,
    /// When its last byte had come, and when any was last passed on.
    whole: Cell<Option<Instant>>,
    moved: Cell<Instant>,
    home: RefCell<Option<(UnboundedSender<Mail>, RequestId)>>,
}

impl std::fmt::Debug for Upload {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(to, "a body of {:?}", self.length)
    }
}

impl Upload {
    pub(crate) fn new(start: Bytes, rest: Incoming) -> Rc<Self> {
        let length = rest.size_hint().exact().map(|rest| rest + start.len() as u64);
        let (rest, home) = (RefCell::new(Some(rest)), RefCell::default());
        let moved = Cell::new(Instant::now());
        Rc::new(Self { start, rest, length, whole: Cell::new(None), moved, home })
    }

    /// Whom to tell of its last byte.
    pub(crate) fn belongs_to(&self, home: UnboundedSender<Mail>, job: RequestId) {
        self.home.replace(Some((home, job)));
    }

    /// Whether another attempt has begun to read it.
    pub(crate) fn spent(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// The body for one attempt; none where it can't be sent once more.
    pub(crate) fn flow(self: &Rc<Self>, written: Rc<WriteProgress>) -> Option<Flow> {
        let rest = self.rest.borrow_mut().take()?;
        let start = Some(self.start.clone()).filter(|start| !start.is_empty());
        let (upload, pace, timer) = (self.clone(), Pace::new(), None);
        Some(Flow::Up(Box::new(Up { upload, start, rest: Some(rest), touched: false, pace, timer, written })))
    }

    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// When its last byte had come.
    pub(crate) fn whole(&self) -> Option<Instant> {
        self.whole.get()
    }

    /// When any of it was last passed on.
    pub(crate) fn moved(&self) -> Instant {
        self.moved.get()
    }

    fn ended(&self) {
        if self.whole.get().is_none() {
            self.whole.set(Some(Instant::now()));
            if let Some((home, job)) = self.home.borrow_mut().take() {
                let _ = home.send(Mail::Whole(job));
            }
        }
    }
}

/// An upload on its way to an execute node.
pub(crate) struct Up {
    upload: Rc<Upload>,
    start: Option<Bytes>,
    rest: Option<Incoming>,
    touched: bool,
    pace: Pace,
    timer: Option<Pin<Box<Sleep>>>,
    written: Rc<WriteProgress>,
}

impl Drop for Up {
    fn drop(&mut self) {
        if !self.touched {
            self.upload.rest.replace(self.rest.take());
        }
    }
}

/// What the submitter's connection wants to know of an answer's end: whether it was whole.
type Ended = Box<dyn FnOnce(bool)>;

/// Where a connection goes that has carried an answer.
type Home = Box<dyn FnOnce(OutboundConnection)>;

/// A large answer on its way to the submitter.
pub(crate) struct Down {
    start: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    timer: Option<Pin<Box<Sleep>>>,
    /// Where the connection goes once the answer has been taken off it.
    link: Option<(OutboundConnection, Home)>,
    ended: Option<Ended>,
}

impl Drop for Down {
    fn drop(&mut self) {
        self.end(false);
    }
}

impl Down {
    fn end(&mut self, whole: bool) {
        if let Some((link, home)) = self.link.take()
            && whole
        {
            home(link);
        }
        if let Some(ended) = self.ended.take() {
            ended(whole);
        }
    }
}

/// A body as this proxy sends it.
pub(crate) enum Flow {
    Whole(Full<Bytes>),
    Up(Box<Up>),
    Down(Box<Down>),
}

impl std::fmt::Debug for Flow {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        to.write_str(if matches!(self, Flow::Whole(_)) { "a whole body" } else { "a body that flows" })
    }
}

impl From<Bytes> for Flow {
    fn from(bytes: Bytes) -> Self {
        Flow::Whole(Full::new(bytes))
    }
}

impl Flow {
    /// An execute node's large answer; its connection goes to `home` when the whole answer has been passed on.
    pub(crate) fn down(
        start: Bytes,
        rest: Incoming,
        link: OutboundConnection,
        home: impl FnOnce(OutboundConnection) + 'static,
    ) -> Self {
        let length = rest.size_hint().exact().map(|rest| rest + start.len() as u64);
        let start = Some(start).filter(|start| !start.is_empty());
        let link: Option<(OutboundConnection, Home)> = Some((link, Box::new(home)));
        Flow::Down(Box::new(Down { start, rest, length, passed: 0, timer: None, link, ended: None }))
    }

    /// Tells `ended` when the last of it has been passed on, or never will be. A whole one has ended at once.
    pub(crate) fn tells(&mut self, ended: impl FnOnce(bool) + 'static) {
        match self {
            Flow::Down(down) => down.ended = Some(Box::new(ended)),
            _ => ended(true),
        }
    }
}

/// The next frame, or a fault where none comes before `limit`.
fn paced(
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

impl Up {
    fn next(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        self.upload.moved.set(Instant::now());
        if let Some(start) = self.start.take() {
            self.pace.bytes += start.len() as u64;
            return Poll::Ready(Some(Ok(start)));
        }
        self.touched = true;
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let next = ready!(paced(rest, &mut self.timer, || self.pace.limit(), cx));
        match &next {
            Some(Ok(data)) => {
                self.pace.came(data.len());
                if self.pace.bytes > FLOW_LIMIT {
                    return Poll::Ready(Some(Err(io::Error::other("the body is too long"))));
                }
            }
            // Danger: its last byte is about to leave; from now on it may run.
            None => {
                self.written.mark_complete();
                self.upload.ended();
            }
            Some(Err(_)) => {}
        }
        if self.upload.length == Some(self.pace.bytes) {
            self.upload.ended();
        }
        Poll::Ready(next)
    }
}

impl Down {
    fn next(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        let next = match self.start.take() {
            Some(start) => Some(Ok(start)),
            None => ready!(paced(&mut self.rest, &mut self.timer, || Instant::now() + NODE_REST, cx)),
        };
        match &next {
            Some(Ok(data)) => {
                self.passed += data.len() as u64;
                if self.passed > FLOW_LIMIT {
                    return Poll::Ready(Some(Err(io::Error::other("the answer is too long"))));
                }
                // With the last byte of a known length hyper asks no further.
                if self.length == Some(self.passed) {
                    self.end(true);
                }
            }
            None => self.end(true),
            Some(Err(_)) => self.end(false),
        }
        Poll::Ready(next)
    }
}

impl Body for Flow {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let next = match self.get_mut() {
            Flow::Whole(whole) => return Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Flow::Up(up) => ready!(up.next(cx)),
            Flow::Down(down) => ready!(down.next(cx)),
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Flow::Whole(whole) => whole.is_end_stream(),
            _ => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        let length = match self {
            Flow::Whole(whole) => return whole.size_hint(),
            Flow::Up(up) => up.upload.length.map(|length| length - up.pace.bytes.min(length)),
            Flow::Down(down) => down.length.map(|length| length - down.passed.min(length)),
        };
        length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
