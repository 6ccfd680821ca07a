//! A response body that tells how long its request is under way.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use mosshead_http_links::CountGuard;

use crate::response::{ResponseAborted, ResponseBody};

/// A response body during which its request counts as under way.
pub(crate) struct GuardedBody {
    body: ResponseBody,
    _under_way: Rc<CountGuard>,
}

impl GuardedBody {
    pub(crate) fn new(body: ResponseBody, under_way: Rc<CountGuard>) -> Self {
        Self { body, _under_way: under_way }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
