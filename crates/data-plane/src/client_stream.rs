//! The TCP stream of a client's connection, which times the heads of requests and can be closed with a reset.

use std::cell::Cell;
use std::rc::Rc;

use mosshead_http_links::{HookedStream, StreamHook};
use mosshead_time::Duration;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::head_timer::HeadTimer;

/// The stream of a client's connection.
pub(crate) type ClientStream = HookedStream<ClientStreamHook>;

/// Records bytes that arrive, and resets the connection if the flag is set when the stream is dropped.
pub(crate) struct ClientStreamHook {
    pub(crate) head_timer: Rc<HeadTimer>,
    pub(crate) reset_on_drop: Rc<Cell<bool>>,
}

impl StreamHook for ClientStreamHook {
    fn after_read(&self) {
        self.head_timer.record_bytes();
    }

    fn on_drop(&self, stream: &TcpStream) {
        if self.reset_on_drop.get() {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
