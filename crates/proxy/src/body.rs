//! Request and response bodies: small ones are buffered, larger ones are streamed.
//!
//! Streaming has backpressure: no more is read from one side than the other side accepts.

mod download;
mod frames;
mod pace;
mod upload;

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use mosshead_http_links::{BodyError, MAX_BUFFERED_BODY_BYTES};
use tokio::time::timeout_at;

pub use download::DownloadStream;
pub use upload::{Upload, UploadStream};

use pace::SenderPace;

/// An open connection to a server or to discovery.
pub type OutboundConnection = mosshead_http_links::OutboundConnection<OutgoingBody>;

/// The maximum length of a streamed body.
pub const MAX_STREAMED_BODY_BYTES: u64 = 33 * 1024 * 1024;

/// The start of a body.
pub enum BodyStart {
    /// The body is small, and this is all of it.
    Complete(Bytes),
    /// What had arrived when the body exceeded the buffer limit, and the rest.
    Partial(Bytes, Incoming),
}

/// Reads a body until it ends or exceeds the buffer limit. If no length is stated, the wait for the end is limited to
/// `max_wait`; a body that has not ended by then is treated as a large one.
pub async fn read_start(mut body: Incoming, max_wait: Option<Duration>) -> Result<BodyStart, BodyError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_STREAMED_BODY_BYTES) {
        return Err(BodyError::TooLong);
    }
    if length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64) {
        return Ok(BodyStart::Partial(Bytes::new(), body));
    }
    let (mut buffered, mut pace) = (BytesMut::new(), SenderPace::new());
    let wait_end = max_wait.filter(|_| length.is_none()).map(|max_wait| Instant::now() + max_wait);
    loop {
        let deadline = wait_end.unwrap_or_else(|| pace.wait_deadline());
        let frame = match timeout_at(deadline.into(), body.frame()).await {
            Ok(None) => return Ok(BodyStart::Complete(buffered.freeze())),
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Interrupted)?,
            Err(_) if wait_end.is_some() => return Ok(BodyStart::Partial(buffered.freeze(), body)),
            Err(_) => return Err(BodyError::Timeout),
        };
        if let Ok(data) = frame.into_data() {
            pace.record_received(data.len());
            buffered.extend_from_slice(&data);
            if buffered.len() > MAX_BUFFERED_BODY_BYTES {
                return Ok(BodyStart::Partial(buffered.freeze(), body));
            }
        }
    }
}

/// A body that this proxy sends.
pub enum OutgoingBody {
    Buffered(Full<Bytes>),
    Upload(Box<UploadStream>),
    Download(Box<DownloadStream>),
}

impl std::fmt::Debug for OutgoingBody {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            OutgoingBody::Buffered(_) => "a buffered body",
            OutgoingBody::Upload(_) => "an upload",
            OutgoingBody::Download(_) => "a download",
        })
    }
}

impl From<Bytes> for OutgoingBody {
    fn from(bytes: Bytes) -> Self {
        OutgoingBody::Buffered(Full::new(bytes))
    }
}

impl OutgoingBody {
    /// A large response. `on_connection_free` receives its connection once the response has been read completely.
    pub fn download(
        start: Bytes,
        rest: Incoming,
        connection: OutboundConnection,
        on_connection_free: impl FnOnce(OutboundConnection) + 'static,
    ) -> Self {
        let stream = DownloadStream::new(start, rest, connection, on_connection_free);
        OutgoingBody::Download(Box::new(stream))
    }

    /// Calls `on_end` with true once the body has been forwarded completely, or with false once that can no longer
    /// happen. A buffered body counts as forwarded at once.
    pub fn on_end(&mut self, on_end: impl FnOnce(bool) + 'static) {
        match self {
            OutgoingBody::Download(download) => download.set_on_end(Box::new(on_end)),
            OutgoingBody::Buffered(_) | OutgoingBody::Upload(_) => on_end(true),
        }
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
            OutgoingBody::Upload(upload) => ready!(upload.poll_next(cx)),
            OutgoingBody::Download(download) => ready!(download.poll_next(cx)),
        };
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Buffered(buffered) => buffered.is_end_stream(),
            OutgoingBody::Upload(_) | OutgoingBody::Download(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        let remaining = match self {
            OutgoingBody::Buffered(buffered) => return buffered.size_hint(),
            OutgoingBody::Upload(upload) => upload.remaining(),
            OutgoingBody::Download(download) => download.remaining(),
        };
        remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
