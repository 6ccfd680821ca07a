//! The client proxy on real sockets: every peer, the endpoint list and the decisions have an actor each.
//!
//! `docs/client-proxy.md` follows a request through them.

mod admin;
#[doc(hidden)]
pub mod balancer_actor;
#[doc(hidden)]
pub mod body;
#[doc(hidden)]
pub mod budget;
#[doc(hidden)]
pub mod class_table;
mod client_connection;
#[doc(hidden)]
pub mod config;
#[doc(hidden)]
pub mod connection_log;
#[doc(hidden)]
pub mod endpoint_list;
#[doc(hidden)]
pub mod errors;
#[doc(hidden)]
pub mod framing;
mod handover;
#[doc(hidden)]
pub mod lifecycle;
#[doc(hidden)]
pub mod load_report;
pub mod log;
#[doc(hidden)]
pub mod messages;
#[doc(hidden)]
pub mod operators;
#[doc(hidden)]
pub mod request_ids;
#[doc(hidden)]
pub mod server;
#[doc(hidden)]
pub mod snapshot_writer;
#[doc(hidden)]
pub mod stored_state;

pub use config::Config;
pub use errors::{ConfigError, LoadConfigError};
pub use operators::OperatorConfig;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_blocking, spawn_local};
use tokio::time::timeout;

use balancer_actor::BalancerHandle;
use budget::DescriptorBudget;
use client_connection::ClientFrontend;
use endpoint_list::EndpointList;
use errors::ReloadError;
use handover::{BudgetShares, Handover};
use lifecycle::Lifecycle;
use mosshead_decide::interface::Seconds;
use mosshead_snapshot::restore::restore;
use mosshead_snapshot::snapshot::SnapshotError;
use snapshot_writer::SnapshotWriter;
use stored_state::StoredState;

/// So many connections wait for the accept loop.
const BACKLOG: u32 = 4096;
/// No wait is longer: an instant further away could not be reckoned.
const MAX_WAIT: Seconds = 86_400.0;

/// A span of time for the runtime; what is no span is none.
#[doc(hidden)]
pub fn duration(span: Seconds) -> Duration {
    Duration::try_from_secs_f64(span.clamp(0.0, MAX_WAIT)).unwrap_or_default()
}

/// Serves until SIGTERM or SIGINT; every request taken has its answer when this returns. On SIGHUP `read` gives
/// the configuration as it is now.
///
/// # Errors
/// When an address can't be bound, the process can't start its runtime or handle signals, the settings are not valid, or
/// the actor that decides has ended.
pub fn run(
    config: Config,
    read: impl Fn() -> Result<Config, LoadConfigError> + Clone + Send + 'static,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let actors = LocalSet::new();
    let end = actors.block_on(&runtime, serve(config, read));
    connection_log::stopping();
    drop(actors);
    end
}

async fn serve(
    mut config: Config,
    read: impl Fn() -> Result<Config, LoadConfigError> + Clone + Send + 'static,
) -> io::Result<()> {
    let hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let lifecycle = Lifecycle::new();
    let way = config.ops.map(|_| handover::socket_path(config.listen));
    let taken = match &way {
        Some(path) => handover::request_handover(path, config.listen).await.unwrap_or_else(|why| {
            say!(why = %why, "no handover");
            None
        }),
        None => None,
    };
    let kept = config.ops.map_or(0, |_| handover::STARTUP_DESCRIPTORS);
    let [front, back] = DescriptorBudget::split(config.sockets, config.memory_mb, kept);
    let shares = way.map(|path| (path, BudgetShares::new([front.clone(), back.clone()], taken.is_some())));
    let (listener, predecessor) = match taken {
        Some(taken) => {
            config.known = taken.known;
            (TcpListener::from_std(taken.listener)?, Some(taken.link))
        }
        None if shares.is_some() => (shared(config.listen)?, None),
        None => (TcpListener::bind(config.listen).await?, None),
    };
    let listener = Rc::new(listener);
    let (stored, version) = remember(&mut config, predecessor.is_some()).await;
    let (list, asked) = EndpointList::new();
    let limits = config.named.settings.limits.clone();
    let (balancer, names, actor) =
        BalancerHandle::new(&config, back, list.clone(), lifecycle.clone(), stored)
            .map_err(io::Error::other)?;
    let mut deciding = spawn_local(actor);
    spawn_local(endpoint_list::run(
        config.discovery,
        version,
        limits.connect_timeout,
        asked,
        balancer.mailbox(),
    ));
    let ops = config.ops.map(|ops| admin::open(ops, lifecycle.clone())).transpose()?;
    say!(
        name = %config.name,
        listen = %listener.local_addr()?,
        version = %env!("CARGO_PKG_VERSION"),
        ops = ops.map(tracing::field::display),
        handed_over = predecessor.is_some().then_some(true),
        "start"
    );
    let handover = shares.map(|(path, shares)| {
        let (balancer, lifecycle, listener) = (balancer.clone(), lifecycle.clone(), listener.clone());
        Handover::new(path, balancer, shares, lifecycle, listener, predecessor)
    });
    let front = ClientFrontend::new(balancer.clone(), names, front, lifecycle.clone());
    spawn_local(reload(hangup, read, list, balancer, front.clone(), config.clone()));
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        lifecycle.set_stopping();
        say!("stopping");
    };
    tokio::select! {
        () = front.serve(listener, stop, handover) => {
            say!(name = %config.name, "stopped");
            Ok(())
        }
        // Without decisions there is no proxy: a new one has to be started.
        _ = &mut deciding => Err(io::Error::other("the module's actor has ended")),
    }
}

/// What a former incarnation left in the folder that the operators grant, if they do; and the version of the list to go on from, if
/// it is one of discovery's. A predecessor that hands over knows the list better than any folder.
async fn remember(config: &mut Config, handed_over: bool) -> (Option<StoredState>, Option<u64>) {
    let given = Some(config.known.version);
    let Some(folder) = config.operators.state.clone() else { return (None, given) };
    let from = folder.clone();
    // A disk that hangs must not keep a proxy from serving.
    let (read, found) = oneshot::channel();
    // A stop does not wait for this thread, as it would for the runtime's own.
    std::thread::spawn(move || drop(read.send(snapshot_writer::read(&from))));
    let found = timeout(snapshot_writer::READ_TIMEOUT, found).await.ok().and_then(Result::ok);
    let found = found.unwrap_or(Err(SnapshotError::TimedOut));
    let believed = restore(&config.known, found, &config.name, stored_state::unix_time());
    for verdict in &believed.reports {
        say!(part = %verdict.part, fate = %verdict.outcome, why = %verdict.reason, life = believed.incarnation, "former life");
    }
    if !handed_over {
        config.known = believed.server_list.clone();
    }
    let version = (handed_over || !believed.is_list_modified).then_some(config.known.version);
    match SnapshotWriter::start(folder) {
        Ok(keeper) => (Some(StoredState::new(keeper, &config.name, believed)), version),
        Err(error) => {
            say!(why = %error, "fault: nothing is kept for the next life");
            (None, version)
        }
    }
}

/// A listener that shares its address with others of this user's.
fn shared(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(listen)?;
    socket.listen(BACKLOG)
}

/// On each SIGHUP the configuration is read anew: the settings are taken whole or not at all, and the list is watched where
/// it now says. Requests and connections live on; what else the file changes counts from the next start.
async fn reload(
    mut hangup: Signal,
    read: impl Fn() -> Result<Config, LoadConfigError> + Clone + Send + 'static,
    list: EndpointList,
    balancer: BalancerHandle,
    front: Rc<ClientFrontend>,
    mut running: Config,
) {
    while hangup.recv().await.is_some() {
        // A file system that hangs must not stop the requests.
        let read = spawn_blocking(read.clone()).await;
        let adopted = async {
            let next = read??;
            running.check_replacement(&next)?;
            let names = balancer.apply_settings(next.named.clone()).await?;
            Ok::<_, ReloadError>((next, names))
        };
        match adopted.await {
            Ok((next, names)) => {
                front.set_accepted_names(names);
                say!(
                    discovery = %next.discovery,
                    classes = next.named.settings.classes.len(),
                    attempts = next.named.settings.limits.max_attempts,
                    "reloaded"
                );
                list.move_to(next.discovery);
                running = next;
            }
            Err(error) => say!(fault = %error, "reload failed"),
        }
    }
}
