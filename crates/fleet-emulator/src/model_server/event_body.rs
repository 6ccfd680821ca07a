//! A response body whose chunks come from a task.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Chunks that wait for their connection.
const CAPACITY: usize = 64;

/// The body; it ends when the sender is dropped.
pub(super) struct EventBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl EventBody {
    /// A body, and where its chunks are sent to. Sending fails once the client has left.
    pub(super) fn channel() -> (mpsc::Sender<Bytes>, EventBody) {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        (sender, EventBody { receiver })
    }

    /// A body that is there as a whole.
    pub(super) fn of(text: impl Into<Bytes>) -> EventBody {
        let (sender, body) = EventBody::channel();
        let _ = sender.try_send(text.into());
        body
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.get_mut().receiver.poll_recv(cx).map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk))))
    }
}
