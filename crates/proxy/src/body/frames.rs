//! Polling of a received body with a time limit.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tokio::time::{Sleep, sleep_until};

/// A timer that is started when a poll finds no data.
pub(super) type PollTimer = Option<Pin<Box<Sleep>>>;

/// Polls the next data of a body. Fails if there is none by `deadline`, which is evaluated when the wait begins.
pub(super) fn poll_data(
    body: &mut Incoming,
    timer: &mut PollTimer,
    deadline: impl FnOnce() -> Instant,
    cx: &mut Context,
) -> Poll<Option<io::Result<Bytes>>> {
    loop {
        match Pin::new(&mut *body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                // Trailers are not forwarded.
                if let Ok(data) = frame.into_data() {
                    *timer = None;
                    return Poll::Ready(Some(Ok(data)));
                }
            }
            Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(io::Error::other(error)))),
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Pending => {
                let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(deadline().into())));
                ready!(timer.as_mut().poll(cx));
                return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
            }
        }
    }
}
