//! The actor of a server: it owns the connections to the server and the attempts and probes on them.

mod attempt;
mod exchange;
mod response;

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::body::OutboundConnection;
use crate::budget::DescriptorBudget;
use crate::messages::{AttemptKey, ConnectionLimits, EndpointStatus, ServerMessage};
use mosshead_decide::interface::{Limits, Readiness};
use mosshead_http_links::CloseReason;

use attempt::{run_attempt, run_probe};
use exchange::ExchangeContext;

/// Starts the actor of a server.
pub fn start(
    limits: &Limits,
    budget: DescriptorBudget,
    status: EndpointStatus,
) -> UnboundedSender<ServerMessage> {
    let limits = ConnectionLimits::from(limits);
    let (mailbox, messages) = unbounded_channel();
    let state = ServerState {
        status: Cell::new(status),
        connect_timeout: Cell::new(limits.connect_timeout),
        budget,
        mailbox: mailbox.clone(),
    };
    let actor = ServerActor {
        state: Rc::new(state),
        idle: Vec::new(),
        in_flight: HashMap::new(),
        max_idle: limits.max_idle,
    };
    spawn_local(actor.run(messages));
    mailbox
}

/// The state that the actor shares with its attempts and probes.
struct ServerState {
    /// The current list entry of the server.
    status: Cell<EndpointStatus>,
    connect_timeout: Cell<Duration>,
    budget: DescriptorBudget,
    /// The actor's mailbox, to which connections are returned.
    mailbox: UnboundedSender<ServerMessage>,
}

struct IdleConnection {
    connection: OutboundConnection,
    since: Instant,
}

struct ServerActor {
    state: Rc<ServerState>,
    /// Ordered by their last use, the longest idle one first. A new request takes the last one.
    idle: Vec<IdleConnection>,
    /// The attempts that can be cancelled.
    in_flight: HashMap<AttemptKey, oneshot::Sender<()>>,
    /// See [`ConnectionLimits::max_idle`].
    max_idle: Duration,
}

impl ServerActor {
    async fn run(mut self, mut messages: UnboundedReceiver<ServerMessage>) {
        let mut release_requests = self.state.budget.subscribe_release_requests();
        loop {
            let expiry = self.idle.first().and_then(|idle| idle.since.checked_add(self.max_idle));
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(ServerMessage::Shutdown) | None => return self.close_idle(CloseReason::EndpointChanged),
                    Some(message) => self.handle_message(message),
                },
                // Close the connection that has been idle longest: the others may be about to carry a request.
                _ = release_requests.changed() => self.close_longest_idle(CloseReason::DescriptorNeeded),
                () = async { sleep_until(expiry.unwrap_or_else(Instant::now).into()).await }, if expiry.is_some() => {
                    self.close_longest_idle(CloseReason::IdleTimeout);
                }
            }
        }
    }

    fn handle_message(&mut self, message: ServerMessage) {
        match message {
            ServerMessage::StatusChanged(status) => self.set_status(status),
            ServerMessage::Removed => {
                self.set_status(EndpointStatus { readiness: Readiness::Removed, ..self.state.status.get() });
            }
            ServerMessage::Shutdown => {}
            ServerMessage::Attempt { guard, forwarded, deadline } => {
                let (cancel, cancelled) = oneshot::channel();
                self.in_flight.insert(guard.key(), cancel);
                spawn_local(run_attempt(self.exchange_context(), guard, forwarded, deadline, cancelled));
            }
            ServerMessage::Probe(guard) => {
                spawn_local(run_probe(self.exchange_context(), guard));
            }
            ServerMessage::Cancel(attempt) => {
                if let Some(cancel) = self.in_flight.remove(&attempt) {
                    let _ = cancel.send(());
                }
            }
            ServerMessage::CloseIdle => self.close_idle(CloseReason::ClosedByPolicy),
            ServerMessage::LimitsChanged(limits) => {
                self.state.connect_timeout.set(limits.connect_timeout);
                self.max_idle = limits.max_idle;
            }
            ServerMessage::ConnectionFreed { attempt, connection, addr } => {
                if let Some(attempt) = attempt {
                    self.in_flight.remove(&attempt);
                }
                if let Some(connection) = connection {
                    self.keep_idle(connection, addr);
                }
            }
        }
    }

    fn set_status(&mut self, status: EndpointStatus) {
        let former = self.state.status.replace(status);
        if (former.addr, former.started_at) != (status.addr, status.started_at)
            || status.readiness != Readiness::Ready
        {
            self.close_idle(CloseReason::EndpointChanged);
        }
    }

    /// Keeps a connection for further requests, unless it is unusable or its descriptor is needed.
    fn keep_idle(&mut self, connection: OutboundConnection, addr: SocketAddr) {
        if connection.is_closed() {
            return;
        }
        let status = self.state.status.get();
        if status.addr != addr || status.readiness != Readiness::Ready {
            return connection.record.set_close_reason(CloseReason::EndpointChanged);
        }
        if self.state.budget.has_waiters() {
            return connection.record.set_close_reason(CloseReason::DescriptorNeeded);
        }
        self.idle.push(IdleConnection { connection, since: Instant::now() });
    }

    /// The context of one exchange, with the most recently used idle connection if one is still open.
    fn exchange_context(&mut self) -> ExchangeContext {
        self.idle.retain(|idle| !idle.connection.is_closed());
        ExchangeContext {
            state: self.state.clone(),
            chosen_status: self.state.status.get(),
            connection: self.idle.pop().map(|idle| idle.connection),
        }
    }

    fn close_longest_idle(&mut self, reason: CloseReason) {
        if !self.idle.is_empty() {
            self.idle.remove(0).connection.record.set_close_reason(reason);
        }
    }

    fn close_idle(&mut self, reason: CloseReason) {
        for idle in self.idle.drain(..) {
            idle.connection.record.set_close_reason(reason);
        }
    }
}
