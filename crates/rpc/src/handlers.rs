use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use crate::call::{MAX_BODY_BYTES, decode, encode};
use crate::{Call, CallRejection, Peer};

type Answering = Pin<Box<dyn Future<Output = Result<Vec<u8>, CallRejection>>>>;
type Handler = Box<dyn Fn(&[u8], Peer) -> Answering>;

/// What a server bears.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections at once.
    pub max_connections: usize,
    /// Calls that are handled at once.
    pub max_concurrent_calls: usize,
    /// Bytes of the body of a call.
    pub max_body_bytes: usize,
    /// How long the header of a call may take to arrive, and so how long a connection may be idle.
    pub header_read_timeout: Duration,
    /// How long the body of a call may take to arrive.
    pub body_read_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_connections: 512,
            max_concurrent_calls: 1024,
            max_body_bytes: MAX_BODY_BYTES,
            header_read_timeout: Duration::from_secs(15),
            body_read_timeout: Duration::from_secs(5),
        }
    }
}

/// The handlers of calls by name.
#[derive(Default)]
pub struct Handlers {
    handlers: HashMap<&'static str, Handler>,
    limits: ServerLimits,
    running: Rc<Cell<usize>>,
}

impl Handlers {
    /// None yet.
    pub fn new() -> Handlers {
        Handlers::default()
    }

    /// With other limits.
    pub fn with_limits(mut self, limits: ServerLimits) -> Handlers {
        self.limits = limits;
        self
    }

    /// Calls `C` are answered by `handler`; the last one given holds. It runs to its end also when its caller is
    /// gone, so a handler that waits for others must give up by itself.
    pub fn with_handler<C: Call>(
        mut self,
        handler: impl AsyncFn(C, Peer) -> Result<C::Response, CallRejection> + 'static,
    ) -> Handlers {
        let handler = Rc::new(handler);
        let handle = move |body: &[u8], peer: Peer| -> Answering {
            let call = decode::<C>(body);
            let handler = Rc::clone(&handler);
            Box::pin(async move {
                let answer = handler(call.ok_or(CallRejection::Malformed)?, peer).await?;
                encode(&answer).map_err(|_| CallRejection::HandlerFailed)
            })
        };
        self.handlers.insert(C::NAME, Box::new(handle));
        self
    }

    pub(crate) fn limits(&self) -> ServerLimits {
        self.limits
    }

    /// Handles one call.
    pub(crate) async fn answer(&self, name: &str, body: &[u8], peer: Peer) -> Result<Vec<u8>, CallRejection> {
        let handler = self.handlers.get(name).ok_or(CallRejection::UnknownCall)?;
        if self.running.get() >= self.limits.max_concurrent_calls {
            return Err(CallRejection::Overloaded);
        }
        let answering = handler(body, peer);
        let running = Running::new(&self.running);
        // Danger: a caller that goes away cancels what waits here. A handler that was cut off between two of its
        // steps would leave state half changed, so it is a task of its own.
        let task = tokio::task::spawn_local(async move {
            let _running = running;
            answering.await
        });
        task.await.unwrap_or(Err(CallRejection::HandlerFailed))
    }
}

struct Running(Rc<Cell<usize>>);

impl Running {
    fn new(count: &Rc<Cell<usize>>) -> Running {
        count.set(count.get().saturating_add(1));
        Running(Rc::clone(count))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
