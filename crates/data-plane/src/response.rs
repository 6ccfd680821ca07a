//! Responses to clients: forwarded ones, and those that the proxy itself makes.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};

use crate::event_queue::{EventReceiver, Received};
use crate::headers::end_to_end;
use crate::segmented_body::SegmentedBody;

/// The error that aborts an incomplete response, so that the connection to the client is closed.
#[derive(Debug)]
pub(crate) struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted before its end")
    }
}

impl std::error::Error for ResponseAborted {}

/// The body of a response to a client.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body.
    Buffered(SegmentedBody),
    /// The events of a stream. The sender states whether the body is complete.
    Streaming(EventReceiver),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Streaming(receiver) => receiver.poll_receive(cx).map(|received| match received {
                Received::Event(event) => Some(Ok(Frame::data(event))),
                Received::Complete => None,
                Received::Aborted => Some(Err(ResponseAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}

/// Creates a response of the proxy itself, without a body. `retry_after`, in seconds, may be given only if no server
/// has run the request or will: clients rely on that and retry.
pub(crate) fn proxy_response(status: StatusCode, retry_after: Option<f64>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(SegmentedBody::default()));
    *response.status_mut() = status;
    let retry_after = retry_after.and_then(|seconds| HeaderValue::from_str(&format!("{seconds:.3}")).ok());
    if let Some(retry_after) = retry_after {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

/// Creates the response to a client from the head of a server's response and this body.
pub(crate) fn forwarded_response(head: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}
