//! A large request body: its start is buffered, the rest is streamed.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use mosshead_decide::interface::RequestId;
use mosshead_http_links::WriteProgress;
use tokio::sync::mpsc::UnboundedSender;

use super::MAX_STREAMED_BODY_BYTES;
use super::frames::{PollTimer, poll_data};
use super::pace::SenderPace;
use crate::messages::Message;

/// A large request body. Several attempts may send it, until one of them has read beyond its start.
pub struct Upload {
    start: Bytes,
    /// What follows the start. An attempt takes it, and returns it if it has read nothing from it.
    rest: RefCell<Option<Incoming>>,
    /// The total length, if it is stated.
    length: Option<u64>,
    completed_at: Cell<Option<Instant>>,
    last_progress: Cell<Instant>,
    /// Whom to notify when the last byte arrives; none once that is done.
    on_complete: RefCell<Option<CompletionNotice>>,
}

struct CompletionNotice {
    balancer: UnboundedSender<Message>,
    request: RequestId,
}

impl std::fmt::Debug for Upload {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "an upload of {:?} bytes", self.length)
    }
}

impl Upload {
    pub fn new(start: Bytes, rest: Incoming) -> Rc<Self> {
        let length = rest.size_hint().exact().map(|rest| rest + start.len() as u64);
        Rc::new(Self {
            start,
            rest: RefCell::new(Some(rest)),
            length,
            completed_at: Cell::new(None),
            last_progress: Cell::new(Instant::now()),
            on_complete: RefCell::default(),
        })
    }

    /// Sets up the notification of the balancer about the last byte.
    pub fn notify_when_complete(&self, balancer: UnboundedSender<Message>, request: RequestId) {
        self.on_complete.replace(Some(CompletionNotice { balancer, request }));
    }

    /// True if an attempt has read beyond the start, so that no other attempt can send the body.
    pub fn is_consumed(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// The body for one attempt; none if it [is consumed](Self::is_consumed).
    pub fn start_attempt(self: &Rc<Self>, write_progress: Rc<WriteProgress>) -> Option<UploadStream> {
        let rest = self.rest.borrow_mut().take()?;
        Some(UploadStream {
            upload: self.clone(),
            start: Some(self.start.clone()).filter(|start| !start.is_empty()),
            rest: Some(rest),
            has_read_rest: false,
            pace: SenderPace::new(),
            timer: None,
            write_progress,
        })
    }

    /// The total length, if it is stated.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// When the last byte arrived; none before that.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// When a server last asked for more of the body.
    pub fn last_progress(&self) -> Instant {
        self.last_progress.get()
    }

    fn mark_complete(&self) {
        if self.completed_at.get().is_none() {
            self.completed_at.set(Some(Instant::now()));
            if let Some(CompletionNotice { balancer, request }) = self.on_complete.borrow_mut().take() {
                let _ = balancer.send(Message::BodyReceived(request));
            }
        }
    }
}

/// A large request body that one attempt sends to a server.
pub struct UploadStream {
    upload: Rc<Upload>,
    /// The buffered start, until it is sent.
    start: Option<Bytes>,
    rest: Option<Incoming>,
    has_read_rest: bool,
    pace: SenderPace,
    timer: PollTimer,
    write_progress: Rc<WriteProgress>,
}

impl Drop for UploadStream {
    fn drop(&mut self) {
        if !self.has_read_rest {
            self.upload.rest.replace(self.rest.take());
        }
    }
}

impl UploadStream {
    pub(super) fn poll_next(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Bytes>>> {
        self.upload.last_progress.set(Instant::now());
        if let Some(start) = self.start.take() {
            self.pace.add_buffered(start.len());
            return Poll::Ready(Some(Ok(start)));
        }
        self.has_read_rest = true;
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let next = ready!(poll_data(rest, &mut self.timer, || self.pace.wait_deadline(), cx));
        match &next {
            Some(Ok(data)) => {
                self.pace.record_received(data.len());
                if self.pace.bytes() > MAX_STREAMED_BODY_BYTES {
                    return Poll::Ready(Some(Err(io::Error::other("the body is too long"))));
                }
            }
            // The last byte is about to be written: from now on the server may execute the request.
            None => {
                self.write_progress.mark_complete();
                self.upload.mark_complete();
            }
            Some(Err(_)) => {}
        }
        if self.upload.length == Some(self.pace.bytes()) {
            self.upload.mark_complete();
        }
        Poll::Ready(next)
    }

    /// The number of bytes still to be sent, if the length is stated.
    pub(super) fn remaining(&self) -> Option<u64> {
        self.upload.length.map(|length| length - self.pace.bytes().min(length))
    }
}
