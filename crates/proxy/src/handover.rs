//! Replaces a running process by a new one without losing connections.
//!
//! The predecessor passes its listening socket, the endpoint list and some of its descriptors to the successor over a
//! Unix socket in `$TMPDIR`. `docs/design/0003-operators.md` gives the reasons for this design. The link between the
//! two stays open until one of them ends; the other one then gets all descriptors back.
//!
//! [`protocol`] defines the messages, [`socket`] passes the listening socket, [`shares`] divides the limits,
//! [`predecessor`] and [`successor`] are the two sides of a replacement.

mod error;
mod predecessor;
mod protocol;
mod shares;
mod socket;
mod successor;

use std::cell::RefCell;
use std::fs;
use std::future::pending;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

use crate::balancer_actor::BalancerHandle;
use crate::lifecycle::Lifecycle;
use crate::log::log_event;

pub(crate) use protocol::HandoverLink;
pub(crate) use shares::{BudgetShares, PerSide};
pub(crate) use socket::socket_path;
pub(crate) use successor::request_handover;

/// A predecessor that does not hand over within this time counts as absent.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The descriptors that a new process opens before any are granted to it. Each process always keeps them in reserve.
pub(crate) const STARTUP_DESCRIPTORS: u64 = 16;

/// The role of this process in replacements: the successor of one process, the predecessor of others.
pub(crate) struct Handover {
    /// The path of the socket at which successors connect.
    path: PathBuf,
    balancer: BalancerHandle,
    shares: BudgetShares,
    lifecycle: Arc<Lifecycle>,
    /// None once this process accepts no further connections.
    listener: RefCell<Option<Rc<TcpListener>>>,
    /// The task that accepts successors; none while a successor owns the socket's path.
    accept_task: RefCell<Option<AbortHandle>>,
    /// True if the predecessor is stopping or has ended, or there was none.
    is_predecessor_leaving: watch::Sender<bool>,
    /// True if this process accepts client connections.
    is_accepting: watch::Sender<bool>,
    is_stopping: watch::Sender<bool>,
    /// The number of successors that accept connections at the same address.
    accepting_successors: watch::Sender<usize>,
}

impl Handover {
    /// `predecessor` is the link to the process that has handed over, if there is one.
    pub(crate) fn new(
        path: PathBuf,
        balancer: BalancerHandle,
        shares: BudgetShares,
        lifecycle: Arc<Lifecycle>,
        listener: Rc<TcpListener>,
        predecessor: Option<HandoverLink>,
    ) -> Rc<Self> {
        let handover = Rc::new(Self {
            path,
            balancer,
            shares,
            lifecycle,
            listener: RefCell::new(Some(listener)),
            accept_task: RefCell::default(),
            is_predecessor_leaving: watch::Sender::new(predecessor.is_none()),
            is_accepting: watch::Sender::new(false),
            is_stopping: watch::Sender::new(false),
            accepting_successors: watch::Sender::new(0),
        });
        if let Some(link) = predecessor {
            spawn_local(handover.clone().follow_predecessor(link));
        }
        handover
    }

    /// Waits until this process is to accept connections: an operator has been told that it is ready, or no predecessor
    /// accepts any. If this process accepted earlier and crashed before it is ready, its connections would be lost,
    /// though the predecessor could have served them.
    pub(crate) async fn wait_until_accepting(self: &Rc<Self>) {
        let mut readiness_confirmed = self.lifecycle.subscribe_readiness_confirmed();
        let mut is_predecessor_leaving = self.is_predecessor_leaving.subscribe();
        tokio::select! {
            _ = readiness_confirmed.wait_for(|confirmed| *confirmed) => {}
            _ = is_predecessor_leaving.wait_for(|is_leaving| *is_leaving) => {}
        }
        self.listen_for_successors();
        self.is_accepting.send_replace(true);
    }

    /// Marks this process as stopping: successors are to accept connections if they don't yet.
    pub(crate) fn announce_stop(&self) {
        self.is_stopping.send_replace(true);
    }

    /// Waits until a successor accepts at the same address.
    pub(crate) async fn wait_for_successor(&self) {
        if self.accepting_successors.subscribe().wait_for(|count| *count > 0).await.is_err() {
            pending::<()>().await;
        }
    }

    /// Stops accepting connections and successors.
    pub(crate) fn close(&self) {
        self.listener.borrow_mut().take();
        if let Some(accept_task) = self.accept_task.borrow_mut().take() {
            accept_task.abort();
            if *self.accepting_successors.borrow() == 0 {
                let _ = fs::remove_file(&self.path);
            }
        }
    }

    /// Accepts successors from now on, at the path that all processes of this address know.
    fn listen_for_successors(self: &Rc<Self>) {
        match socket::bind_replacing(&self.path) {
            Ok(listener) => {
                let accept_task = spawn_local(self.clone().accept_successors(listener)).abort_handle();
                if let Some(former) = self.accept_task.borrow_mut().replace(accept_task) {
                    former.abort();
                }
            }
            Err(error) => log_event!(path = %self.path.display(), why = %error, "handover shut"),
        }
    }

    /// Leaves the socket's path to the successor that has taken it over.
    fn stop_accepting_successors(&self) {
        if let Some(accept_task) = self.accept_task.borrow_mut().take() {
            accept_task.abort();
        }
    }
}
