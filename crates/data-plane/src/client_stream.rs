//! The TCP stream of a client's connection, which can be closed with a reset.

use std::cell::Cell;
use std::rc::Rc;

use mosshead_http_links::{HookedStream, StreamHook};
use mosshead_time::Duration;
use socket2::SockRef;
use tokio::net::TcpStream;

/// A stream that is closed with a TCP reset if the flag of its [`ResetOnDrop`] is set when it is dropped.
pub(crate) type ClientStream = HookedStream<ResetOnDrop>;

/// Resets the connection if the flag is set when the stream is dropped.
pub(crate) struct ResetOnDrop(pub(crate) Rc<Cell<bool>>);

impl StreamHook for ResetOnDrop {
    fn on_drop(&self, stream: &TcpStream) {
        if self.0.get() {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
