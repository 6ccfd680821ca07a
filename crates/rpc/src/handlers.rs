use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use crate::call::{MAX_BODY, decode, encode};
use crate::{Call, Peer, Refusal};

type Answering = Pin<Box<dyn Future<Output = Result<Vec<u8>, Refusal>>>>;
type Handler = Box<dyn Fn(&[u8], Peer) -> Answering>;

/// What a server bears.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Calls that are handled at once.
    pub running: usize,
    /// Bytes of the body of a call.
    pub body: usize,
    /// How long the header of a call may take to arrive, and so how long a connection may be idle.
    pub header_within: Duration,
    /// How long the body of a call may take to arrive.
    pub body_within: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 512,
            running: 1024,
            body: MAX_BODY,
            header_within: Duration::from_secs(15),
            body_within: Duration::from_secs(5),
        }
    }
}

/// The handlers of calls by name.
#[derive(Default)]
pub struct Handlers {
    handlers: HashMap<&'static str, Handler>,
    limits: Limits,
    running: Rc<Cell<usize>>,
}

impl Handlers {
    /// None yet.
    pub fn new() -> Handlers {
        Handlers::default()
    }

    /// With other limits.
    pub fn limits(mut self, limits: Limits) -> Handlers {
        self.limits = limits;
        self
    }

    /// Calls `C` are answered by `handler`; the last one given holds. It runs to its end also when its caller is
    /// gone, so a handler that waits for others must give up by itself.
    pub fn on<C: Call>(
        mut self,
        handler: impl AsyncFn(C, Peer) -> Result<C::Answer, Refusal> + 'static,
    ) -> Handlers {
        let handler = Rc::new(handler);
        let handle = move |body: &[u8], peer: Peer| -> Answering {
            let call = decode::<C>(body);
            let handler = Rc::clone(&handler);
            Box::pin(async move {
                let answer = handler(call.ok_or(Refusal::Garbled)?, peer).await?;
                encode(&answer).map_err(|_| Refusal::Broken)
            })
        };
        self.handlers.insert(C::NAME, Box::new(handle));
        self
    }

    pub(crate) fn bounds(&self) -> Limits {
        self.limits
    }

    /// Handles one call.
    pub(crate) async fn answer(&self, name: &str, body: &[u8], peer: Peer) -> Result<Vec<u8>, Refusal> {
        let handler = self.handlers.get(name).ok_or(Refusal::Unknown)?;
        if self.running.get() >= self.limits.running {
            return Err(Refusal::Busy);
        }
        let answering = handler(body, peer);
        let running = Running::new(&self.running);
        // Danger: a caller that goes away cancels what waits here. A handler that was cut off between two of its
        // steps would leave state half changed, so it is a task of its own.
        let task = tokio::task::spawn_local(async move {
            let _running = running;
            answering.await
        });
        task.await.unwrap_or(Err(Refusal::Broken))
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
