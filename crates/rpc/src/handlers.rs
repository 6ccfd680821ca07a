//! The registered handlers of a server, which decode calls and encode responses.

use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use mosshead_http_links::CountGuard;

use crate::call::{Call, Peer, decode, encode};
use crate::error::CallRejection;
use crate::server_limits::ServerLimits;

type HandlerFuture = Pin<Box<dyn Future<Output = Result<Vec<u8>, CallRejection>>>>;
type Handler = Box<dyn Fn(&[u8], Peer) -> HandlerFuture>;

/// The handlers of calls by [name](Call::NAME), and the limits of the server that runs them.
#[derive(Default)]
pub struct Handlers {
    handlers: HashMap<&'static str, Handler>,
    limits: ServerLimits,
    /// The number of running handlers, including those whose callers have given up.
    running_calls: Rc<Cell<usize>>,
}

impl Handlers {
    /// Creates an empty set of handlers with the default limits.
    pub fn new() -> Handlers {
        Handlers::default()
    }

    /// Replaces the limits.
    pub fn with_limits(mut self, limits: ServerLimits) -> Handlers {
        self.limits = limits;
        self
    }

    /// Adds the handler of calls `C`, and replaces an existing one. A handler runs to completion even if its caller
    /// gives up, so a handler that waits for something must have its own timeout.
    pub fn with_handler<C: Call>(
        mut self,
        handler: impl AsyncFn(C, Peer) -> Result<C::Response, CallRejection> + 'static,
    ) -> Handlers {
        let handler = Rc::new(handler);
        let handle = move |body: &[u8], peer: Peer| -> HandlerFuture {
            let call = decode::<C>(body);
            let handler = Rc::clone(&handler);
            Box::pin(async move {
                let response = handler(call.ok_or(CallRejection::Malformed)?, peer).await?;
                encode(&response).map_err(|_| CallRejection::HandlerFailed)
            })
        };
        self.handlers.insert(C::NAME, Box::new(handle));
        self
    }

    pub(crate) fn limits(&self) -> ServerLimits {
        self.limits
    }

    /// Handles one encoded call and returns the encoded response. `name` is the [`Call::NAME`] on the wire.
    pub(crate) async fn handle(&self, name: &str, body: &[u8], peer: Peer) -> Result<Vec<u8>, CallRejection> {
        let handler = self.handlers.get(name).ok_or(CallRejection::UnknownCall)?;
        if self.running_calls.get() >= self.limits.max_concurrent_calls {
            return Err(CallRejection::Overloaded);
        }
        let response = handler(body, peer);
        let guard = CountGuard::new(&self.running_calls, 1);
        // A caller that gives up cancels this future. The handler runs in a separate task, because cancelling it
        // between two steps would leave its state inconsistent.
        let task = tokio::task::spawn_local(async move {
            let _guard = guard;
            response.await
        });
        task.await.unwrap_or(Err(CallRejection::HandlerFailed))
    }
}
