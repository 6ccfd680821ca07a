//! The process: the startup sequence, the signals, and the reload of the configuration.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use mosshead_snapshot::restore::restore;
use mosshead_snapshot::snapshot::{Snapshot, SnapshotError};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::timeout;

use crate::balancer_actor::BalancerHandle;
use crate::budget::DescriptorBudget;
use crate::client_connection::ClientFrontend;
use crate::config::Config;
use crate::endpoint_list::{self, EndpointList};
use crate::errors::{LoadConfigError, ReloadError};
use crate::handover::{self, BudgetShares, Handover, HandoverLink, PerSide};
use crate::lifecycle::Lifecycle;
use crate::log::log_event;
use crate::snapshot_writer::{self, SnapshotWriter};
use crate::stored_state::{self, StoredState};
use crate::{admin, duration};

/// The length of the kernel's accept queue.
const BACKLOG: u32 = 4096;

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
/// See [`crate::run`].
pub(crate) async fn serve(
    signals: Signals,
    mut config: Config,
    read_config: impl Fn() -> Result<Config, LoadConfigError> + Clone + Send + 'static,
) -> io::Result<()> {
    let Signals { hangup, stop: mut stop_signals } = signals;
    let lifecycle = Lifecycle::new();
    let ClientListener { listener, budgets, replacement } = ClientListener::open(&mut config).await?;
    let has_predecessor = replacement.as_ref().is_some_and(|replacement| replacement.predecessor.is_some());
    let Restored { stored_state, list_version } = restore_stored_state(&mut config, has_predecessor).await;

    let (list, list_commands) = EndpointList::new();
    let (balancer, accepted_names, balancer_actor) =
        BalancerHandle::new(&config, budgets.server, list.clone(), lifecycle.clone(), stored_state)
            .map_err(io::Error::other)?;
    let mut balancer_task = spawn_local(balancer_actor);
    let connect_timeout = duration(config.named.settings.limits.connect_timeout);
    let watch = endpoint_list::run(
        config.discovery,
        list_version,
        connect_timeout,
        list_commands,
        balancer.mailbox(),
    );
    spawn_local(watch);
    let admin_address = config.ops.map(|at| admin::open(at, lifecycle.clone())).transpose()?;
    log_event!(
        name = %config.name,
        listen = %listener.local_addr()?,
        version = %env!("CARGO_PKG_VERSION"),
        ops = admin_address.map(tracing::field::display),
        handed_over = has_predecessor.then_some(true),
        "start"
    );
    let handover = replacement.map(|replacement| replacement.start(&balancer, &lifecycle, listener.clone()));
    let frontend = ClientFrontend::new(balancer.clone(), accepted_names, budgets.client, lifecycle.clone());
    spawn_local(reload_on_hangup(hangup, read_config, list, balancer, frontend.clone(), config.clone()));

    let stop = async {
        stop_signals.received().await;
        lifecycle.set_stopping();
        log_event!("stopping");
    };
    tokio::select! {
        () = frontend.serve(listener, stop, handover) => {
            log_event!(name = %config.name, "stopped");
            Ok(())
        }
        // The proxy can't work without its balancer: the process ends, so that a new one is started.
        _ = &mut balancer_task => Err(io::Error::other("the balancer's actor has ended")),
    }
}

/// The signals that the process handles. Those that arrive before anyone waits for them are kept.
pub(crate) struct Signals {
    hangup: Signal,
    stop: StopSignals,
}

impl Signals {
    /// Installs the handlers. This comes first in a process: before it, each of these signals ends the process.
    ///
    /// # Errors
    /// A handler can't be installed.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Self { hangup: signal(SignalKind::hangup())?, stop: StopSignals::register()? })
    }
}

/// The signals that stop the process.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn register() -> io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the first of them.
    async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The socket that clients connect to, with the descriptors that both sides of the proxy may open.
struct ClientListener {
    listener: Rc<TcpListener>,
    budgets: PerSide<DescriptorBudget>,
    /// Only with an admin endpoint: without one nobody can learn that a successor is ready.
    replacement: Option<Replacement>,
}

impl ClientListener {
    /// Takes over the socket and the endpoint list from a predecessor, or opens a new socket.
    async fn open(config: &mut Config) -> io::Result<Self> {
        let socket_path = config.ops.map(|_| handover::socket_path(config.listen));
        let handed_over = match &socket_path {
            Some(path) => handover::request_handover(path, config.listen).await.unwrap_or_else(|error| {
                log_event!(why = %error, "no handover");
                None
            }),
            None => None,
        };
        let reserved = socket_path.as_ref().map_or(0, |_| handover::STARTUP_DESCRIPTORS);
        let [client, server] = DescriptorBudget::split(config.sockets, config.memory_mb, reserved);
        let budgets = PerSide { client, server };
        let shares =
            socket_path.map(|path| (path, BudgetShares::new(budgets.clone(), handed_over.is_some())));
        let (listener, predecessor) = match handed_over {
            Some(handed_over) => {
                config.known = handed_over.known;
                (TcpListener::from_std(handed_over.listener)?, Some(handed_over.link))
            }
            None if shares.is_some() => (bind_shared(config.listen)?, None),
            None => (TcpListener::bind(config.listen).await?, None),
        };
        let replacement =
            shares.map(|(socket_path, shares)| Replacement { socket_path, shares, predecessor });
        Ok(Self { listener: Rc::new(listener), budgets, replacement })
    }
}

/// What the process needs to replace another process and to be replaced.
struct Replacement {
    socket_path: PathBuf,
    shares: BudgetShares,
    predecessor: Option<HandoverLink>,
}

impl Replacement {
    fn start(
        self,
        balancer: &BalancerHandle,
        lifecycle: &Arc<Lifecycle>,
        listener: Rc<TcpListener>,
    ) -> Rc<Handover> {
        let Self { socket_path, shares, predecessor } = self;
        Handover::new(socket_path, balancer.clone(), shares, lifecycle.clone(), listener, predecessor)
    }
}

/// Opens a listener whose address other processes of this user can share.
fn bind_shared(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

/// The state from which this incarnation starts.
struct Restored {
    /// None without a state folder, or if the folder can't be used.
    stored_state: Option<StoredState>,
    /// The version from which discovery is to continue the list; none if the current list is not from discovery.
    list_version: Option<u64>,
}

/// Reads what a previous incarnation stored in the state folder, if the operators' file names one.
///
/// The list of a predecessor that handed over is newer than that of any folder and takes precedence.
async fn restore_stored_state(config: &mut Config, has_predecessor: bool) -> Restored {
    let Some(folder) = config.operators.state.clone() else {
        return Restored { stored_state: None, list_version: Some(config.known.version) };
    };
    let found = read_snapshot(folder.clone()).await;
    let restored = restore(&config.known, found, &config.name, stored_state::unix_time());
    for report in &restored.reports {
        log_event!(part = %report.part, fate = %report.outcome, why = %report.reason, life = restored.incarnation, "former life");
    }
    if !has_predecessor {
        config.known = restored.server_list.clone();
    }
    let list_version = (has_predecessor || !restored.is_list_modified).then_some(config.known.version);
    let stored_state = match SnapshotWriter::start(folder) {
        Ok(writer) => Some(StoredState::new(writer, &config.name, restored)),
        Err(error) => {
            log_event!(why = %error, "fault: no state is stored for the next incarnation");
            None
        }
    };
    Restored { stored_state, list_version }
}

/// Reads the snapshot on a separate thread: a disk that hangs must not keep the proxy from serving. The runtime's
/// blocking threads are unsuitable, since shutdown waits for them.
async fn read_snapshot(folder: PathBuf) -> Result<Snapshot, SnapshotError> {
    let (sender, found) = oneshot::channel();
    std::thread::spawn(move || drop(sender.send(snapshot_writer::read(&folder))));
    let found = timeout(snapshot_writer::READ_TIMEOUT, found).await.ok().and_then(Result::ok);
    found.unwrap_or(Err(SnapshotError::TimedOut))
}

/// Reads the configuration again on each SIGHUP. Its settings are applied as a whole or not at all, and the endpoint
/// list is watched at the address that it now names. Requests and connections continue; everything else in the file
/// takes effect at the next start.
async fn reload_on_hangup(
    mut hangup: Signal,
    read_config: impl Fn() -> Result<Config, LoadConfigError> + Clone + Send + 'static,
    list: EndpointList,
    balancer: BalancerHandle,
    frontend: Rc<ClientFrontend>,
    mut running: Config,
) {
    while hangup.recv().await.is_some() {
        // A file system that hangs must not block the requests.
        let read = spawn_blocking(read_config.clone()).await;
        let adopted = async {
            let next = read??;
            running.check_replacement(&next)?;
            let names = balancer.apply_settings(next.named.clone()).await?;
            Ok::<_, ReloadError>((next, names))
        };
        match adopted.await {
            Ok((next, names)) => {
                frontend.set_accepted_names(names);
                log_event!(
                    discovery = %next.discovery,
                    classes = next.named.settings.classes.len(),
                    attempts = next.named.settings.limits.max_attempts,
                    "reloaded"
                );
                list.move_to(next.discovery);
                running = next;
            }
            Err(error) => log_event!(fault = %error, "reload failed"),
        }
    }
}
