//! A client's connection, which can be closed with a TCP reset.

use std::cell::Cell;
use std::rc::Rc;

use mosshead_http_links::{HookedStream, StreamHook};
use mosshead_time::Duration;
use socket2::SockRef;
use tokio::net::TcpStream;

/// A stream that is closed with a reset if `reset_on_drop` is set when it is dropped.
pub(crate) type ClientStream = HookedStream<ResetOnDrop>;

/// Resets the connection when the stream is dropped, if the flag is set then.
pub(crate) struct ResetOnDrop(pub(crate) Rc<Cell<bool>>);

impl StreamHook for ResetOnDrop {
    fn on_drop(&self, stream: &TcpStream) {
        if self.0.get() {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
