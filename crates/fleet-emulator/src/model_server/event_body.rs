//! A response body whose chunks come from a task.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::run_record::RunRecord;

/// From the first half of a body to the point where it is broken off.
const BREAK_OFF_PAUSE: Duration = Duration::from_millis(10);
/// Chunks that wait for their connection.
const CAPACITY: usize = 64;

/// The server breaks a response off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the server broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// A chunk of a body, or the point where it is broken off.
pub(super) type Chunk = Result<Bytes, BrokenOff>;

/// The body; it ends when the sender is dropped.
pub(super) struct EventBody {
    receiver: mpsc::Receiver<Chunk>,
    /// The run that this is the response of; it is complete when the whole body was sent.
    run: Option<RunRecord>,
}

impl EventBody {
    /// A body, and where its chunks are sent to. Sending fails once the client has left.
    pub(super) fn channel() -> (mpsc::Sender<Chunk>, EventBody) {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        (sender, EventBody { receiver, run: None })
    }

    /// A body that is there as a whole.
    pub(super) fn of(text: impl Into<Bytes>) -> EventBody {
        let (sender, body) = EventBody::channel();
        let _ = sender.try_send(Ok(text.into()));
        body
    }

    /// The first half of a body, after which the server breaks off. Without the pause nothing of it would be sent.
    pub(super) fn part_of(text: String) -> EventBody {
        let (sender, body) = EventBody::channel();
        let mut text = Bytes::from(text);
        let _ = sender.try_send(Ok(text.split_to(text.len() / 2)));
        tokio::task::spawn_local(async move {
            sleep(BREAK_OFF_PAUSE).await;
            let _ = sender.send(Err(BrokenOff)).await;
        });
        body
    }

    /// The response of this run.
    pub(super) fn of_run(self, run: RunRecord) -> EventBody {
        EventBody { run: Some(run), ..self }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let this = self.get_mut();
        let chunk = this.receiver.poll_recv(cx);
        if let Some(run) = &mut this.run {
            match &chunk {
                Poll::Ready(None) => run.complete(),
                Poll::Ready(Some(Err(BrokenOff))) => run.break_off(),
                Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
            }
        }
        chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
