//! The client side of the proxy: the accept loop, its graceful stop, and one actor for each connection.

mod connection;
mod head;
mod progress;
mod response;

use std::cell::RefCell;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

use crate::balancer_actor::BalancerHandle;
use crate::budget::{DescriptorBudget, Permit};
use crate::class_table::AcceptedNames;
use crate::connection_log::CLIENT;
use crate::handover::Handover;
use crate::lifecycle::Lifecycle;
use crate::log::{LogLimiter, log_event};
use mosshead_http_links::ConnectionLogGuard;

/// How long connections are still accepted after the stop request.
const STOP_ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// The accept queue counts as empty once no connection has arrived for this long.
const STOP_QUIET_PERIOD: Duration = Duration::from_millis(20);
/// How long idle connections are kept after the stop request if a successor accepts connections.
const STOP_IDLE_PERIOD: Duration = Duration::from_millis(600);
/// How long after the stop request connections in the accept queue may wait for descriptors.
const STOP_DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(1000);
/// The delay before the next accept after a failed one, which may be due to a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The phase of a graceful stop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopStage {
    Serving,
    /// Connections are still accepted; each response closes its connection.
    Closing,
    /// No connections are accepted any more, and idle ones are closed.
    Stopping,
}

/// The state that all client connections share.
pub(crate) struct ClientFrontend {
    balancer: BalancerHandle,
    /// The classes and tenants that clients may currently name.
    names: RefCell<Rc<AcceptedNames>>,
    budget: DescriptorBudget,
    stage: watch::Sender<StopStage>,
    lifecycle: Arc<Lifecycle>,
    /// Limits the rate of log lines about rejected messages.
    rejection_log: LogLimiter,
}

/// A connection that was just accepted, with its log line and its descriptor.
struct AcceptedConnection {
    stream: TcpStream,
    log_guard: ConnectionLogGuard,
    permit: Permit,
}

impl ClientFrontend {
    pub(crate) fn new(
        balancer: BalancerHandle,
        names: AcceptedNames,
        budget: DescriptorBudget,
        lifecycle: Arc<Lifecycle>,
    ) -> Rc<Self> {
        Rc::new(Self {
            balancer,
            names: RefCell::new(Rc::new(names)),
            budget,
            stage: watch::Sender::new(StopStage::Serving),
            lifecycle,
            rejection_log: LogLimiter::default(),
        })
    }

    /// Replaces the names of classes and tenants that clients may use.
    pub(crate) fn set_accepted_names(&self, names: AcceptedNames) {
        self.names.replace(Rc::new(names));
    }

    /// Serves until `stop` completes, then finishes all accepted requests.
    pub(crate) async fn serve(
        self: Rc<Self>,
        listener: Rc<TcpListener>,
        stop: impl Future<Output = ()>,
        handover: Option<Rc<Handover>>,
    ) {
        let mut connections = JoinSet::new();
        let mut stop = pin!(stop);
        if let Some(handover) = &handover {
            tokio::select! {
                biased;
                // Nothing has been accepted yet: the predecessor still serves.
                () = &mut stop => return handover.close(),
                () = handover.wait_until_accepting() => {}
            }
        }
        self.accept_until(stop, &listener, &mut connections).await;

        let stop_requested_at = Instant::now();
        self.stage.send_replace(StopStage::Closing);
        if let Some(handover) = &handover {
            handover.announce_stop();
        }
        let has_successor =
            self.accept_until_successor(&handover, stop_requested_at, &listener, &mut connections).await;
        if !has_successor {
            self.empty_accept_queue(stop_requested_at, &listener, &mut connections).await;
        }
        drop(listener);
        if let Some(handover) = &handover {
            handover.close();
        }
        if has_successor {
            // Closing an idle connection at once would race with the next request of its client.
            sleep_until((stop_requested_at + STOP_IDLE_PERIOD).into()).await;
        }
        self.stage.send_replace(StopStage::Stopping);
        while connections.join_next().await.is_some() {}
    }

    async fn accept_until(
        self: &Rc<Self>,
        mut stop: Pin<&mut impl Future<Output = ()>>,
        listener: &TcpListener,
        connections: &mut JoinSet<()>,
    ) {
        loop {
            tokio::select! {
                biased;
                () = &mut stop => return,
                Some(_) = connections.join_next() => {}
                accepted = self.accept(listener) => self.spawn_connection(accepted, connections),
            }
        }
    }

    /// Keeps accepting for a while after the stop request. Returns true if that ended because a successor accepts on
    /// the same socket, so that the accept queue is preserved.
    async fn accept_until_successor(
        self: &Rc<Self>,
        handover: &Option<Rc<Handover>>,
        stop_requested_at: Instant,
        listener: &TcpListener,
        connections: &mut JoinSet<()>,
    ) -> bool {
        loop {
            tokio::select! {
                biased;
                () = sleep_until((stop_requested_at + STOP_ACCEPT_PERIOD).into()) => return false,
                () = successor_accepts(handover) => return true,
                accepted = self.accept(listener) => self.spawn_connection(accepted, connections),
            }
        }
    }

    /// Accepts the connections that the kernel has queued, which would be lost with the listener.
    ///
    /// Nothing can be accepted without a free descriptor, even if the queue is full, so this waits for descriptors.
    async fn empty_accept_queue(
        self: &Rc<Self>,
        stop_requested_at: Instant,
        listener: &TcpListener,
        connections: &mut JoinSet<()>,
    ) {
        let deadline = stop_requested_at + STOP_DESCRIPTOR_TIMEOUT;
        while let Ok(permit) = timeout_at(deadline.into(), self.budget.acquire()).await
            && let Ok(accepted) = timeout(STOP_QUIET_PERIOD, self.accept_with(listener, permit)).await
        {
            self.spawn_connection(accepted, connections);
        }
    }

    async fn accept(&self, listener: &TcpListener) -> Option<AcceptedConnection> {
        let permit = self.budget.acquire().await;
        self.accept_with(listener, permit).await
    }

    async fn accept_with(&self, listener: &TcpListener, permit: Permit) -> Option<AcceptedConnection> {
        match listener.accept().await {
            Ok((stream, peer)) => {
                Some(AcceptedConnection { stream, log_guard: ConnectionLogGuard::open(CLIENT, peer), permit })
            }
            Err(error) => {
                log_event!(why = %error, "accept failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                None
            }
        }
    }

    fn spawn_connection(
        self: &Rc<Self>,
        accepted: Option<AcceptedConnection>,
        connections: &mut JoinSet<()>,
    ) {
        if let Some(accepted) = accepted {
            connections.spawn_local(self.clone().serve_connection(accepted));
        }
    }
}

/// Completes once a successor accepts at the same address.
async fn successor_accepts(handover: &Option<Rc<Handover>>) {
    match handover {
        Some(handover) => handover.wait_for_successor().await,
        None => std::future::pending().await,
    }
}
