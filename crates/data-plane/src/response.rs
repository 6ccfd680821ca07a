//! Answers to clients: bodies, and those that are the proxy's own.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

/// The answer ends here, unfinished.
#[derive(Debug)]
pub(crate) struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        to.write_str("cut off")
    }
}

impl std::error::Error for Cut {}

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum Out {
    Whole(Option<Bytes>),
    Flows(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body for Out {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|bytes| !bytes.is_empty()).map(|it| Ok(Frame::data(it))))
            }
            Self::Flows(from) => from.poll_recv(cx).map(|it| it.map(|it| it.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Flows(_) => SizeHint::default(),
        }
    }
}

/// An answer of the proxy's own. `wait`: when to come back, in seconds; only where the request never ran.
pub(crate) fn own(status: StatusCode, wait: Option<f64>) -> Response<Out> {
    let mut answer = Response::new(Out::Whole(None));
    *answer.status_mut() = status;
    if let Some(wait) = wait.and_then(|wait| HeaderValue::from_str(&format!("{wait:.3}")).ok()) {
        answer.headers_mut().insert(hyper::header::RETRY_AFTER, wait);
    }
    answer
}

/// A server's answer with this body.
pub(crate) fn of_server(head: &Parts, body: Out) -> Response<Out> {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = passed_on(&head.headers);
    answer.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    answer
}

const HOP: [HeaderName; 7] = [
    hyper::header::CONNECTION,
    hyper::header::PROXY_AUTHENTICATE,
    hyper::header::PROXY_AUTHORIZATION,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::TRANSFER_ENCODING,
    hyper::header::UPGRADE,
];

/// Headers without those that concern one connection only.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 6);
    for (name, value) in headers {
        let hop = HOP.contains(name) || name == "keep-alive" || name == "proxy-connection";
        if !hop && !listed.iter().any(|listed| listed == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
