//! Discovery: a listener for each proxy, which serves the endpoint list and watches on it.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::discovery::DiscoveryCall;
use mosshead_world::scenario::LinkKind;
use mosshead_world::{Input, ListEntry, ListResponse, ServerState, Time};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::harness::Harness;
use crate::http::{HttpConnection, Message, MessageKind, Received, encode_response};
use crate::loopback::{HostOctet, UnreachableListener, bind_accepting};
use crate::proxy_links::LinkEndpoint;
use crate::proxy_processes::control;
use crate::servers::ACCEPT_RETRY_DELAY;

/// How long connections to a former address stay open after discovery has moved.
const MOVED_CONNECTION_GRACE: Duration = Duration::from_millis(1500);
/// The longest time that a watch is held open, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;

/// Whether a list names all servers, or only what has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListScope {
    Full,
    Changes,
}

/// The list in the platform's JSON form, with the addresses that one proxy reaches the servers at.
pub(crate) fn encode_list(
    harness: &Harness,
    proxy: usize,
    version: u64,
    scope: ListScope,
    entries: &[ListEntry],
) -> Value {
    let day_start_ms = harness.proxies.unix_ms(Time::ZERO);
    let encode_entry = |entry: &ListEntry| {
        let (zone, kind) = harness.with_world(|world| {
            let traits = world.server_traits(entry.server);
            let scenario = world.scenario();
            (scenario.zones[traits.zone].clone(), scenario.kinds[traits.kind].name.clone())
        });
        // Servers that run since before the day have no known start.
        let started_ms =
            if entry.started_at == Time::ZERO { 0 } else { day_start_ms + entry.started_at.0 / 1000 };
        json!({
            "id": format!("s-{}", entry.server.0),
            "addr": harness.servers.socket_address(proxy, entry.address).to_string(),
            "zone": zone,
            "kind": kind,
            "cell": 0,
            "state": match entry.state {
                ServerState::Serving => "SERVING",
                ServerState::Draining => "DRAINING",
                ServerState::Deleted => "DELETED",
            },
            "weight": 1.0,
            "started_ms": started_ms,
        })
    };
    let servers: Vec<Value> = entries.iter().map(encode_entry).collect();
    json!({"version": version, "full": scope == ListScope::Full, "servers": servers})
}

/// Listens for a proxy at a new address, which becomes the one that the proxy is configured with.
pub(crate) fn listen(harness: &Rc<Harness>, proxy: usize) -> io::Result<()> {
    let host = harness.addresses.host(proxy, HostOctet::Discovery);
    let listener = std::net::TcpListener::bind(SocketAddr::new(host.into(), 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = Listener::Accepting(TcpListener::from_std(listener)?);
    // The former address is notified of the move by the drop of its sender.
    let (moved_sender, moved) = watch::channel(());
    harness.proxies.set_discovery(proxy, address, moved_sender);
    spawn_local(accept_until_moved(harness.clone(), proxy, address, listener, moved));
    Ok(())
}

/// Discovery moves to another address for this proxy, which is notified by SIGHUP.
pub(crate) fn move_to_new_address(harness: &Rc<Harness>, proxy: usize) {
    if listen(harness, proxy).is_ok() {
        control::reload(harness, proxy);
    }
}

async fn accept_until_moved(
    harness: Rc<Harness>,
    proxy: usize,
    address: SocketAddr,
    mut listener: Listener,
    moved: watch::Receiver<()>,
) {
    let mut topology_changes = harness.topology_changes.subscribe();
    let mut sender_dropped = moved.clone();
    loop {
        let is_reachable = harness.with_world(|world| world.link_connects(proxy, LinkKind::Discovery, None));
        listener = listener.with_reachability(is_reachable, address);
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let link = LinkEndpoint { kind: LinkKind::Discovery, proxy, server: None, zone: None, address };
                    spawn_local(serve_stream(harness.clone(), link, stream, moved.clone()));
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            _ = topology_changes.changed() => {}
            _ = sender_dropped.changed() => return,
        }
    }
}

/// What a proxy finds at discovery's address.
enum Listener {
    Accepting(TcpListener),
    /// A fault of links: connections are neither established nor refused.
    Unreachable {
        /// Held for as long as the address is to be unreachable.
        _listener: UnreachableListener,
    },
    /// The address could not be bound; tried again with the next change.
    Closed,
}

impl Listener {
    fn with_reachability(self, is_reachable: bool, address: SocketAddr) -> Self {
        match (self, is_reachable) {
            (unchanged @ Self::Accepting(_), true) | (unchanged @ Self::Unreachable { .. }, false) => {
                unchanged
            }
            (former, _) => {
                // The old socket is closed before the new one binds the same address.
                drop(former);
                let bound = match is_reachable {
                    true => bind_accepting(address).map(Self::Accepting),
                    false => {
                        UnreachableListener::bind(address).map(|_listener| Self::Unreachable { _listener })
                    }
                };
                bound.unwrap_or(Self::Closed)
            }
        }
    }

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match self {
            Self::Accepting(listener) => listener.accept().await,
            Self::Unreachable { .. } | Self::Closed => std::future::pending().await,
        }
    }
}

async fn serve_stream(
    harness: Rc<Harness>,
    link: LinkEndpoint,
    stream: TcpStream,
    mut moved: watch::Receiver<()>,
) {
    let Ok(stream) = harness.links.relay(link, stream).await else { return };
    let mut connection = HttpConnection::new(stream);
    tokio::select! {
        () = serve_requests(&harness, link.proxy, &mut connection) => {}
        () = async {
            // The sender is dropped when discovery moves, and never sends.
            while moved.changed().await.is_ok() {}
            sleep(MOVED_CONNECTION_GRACE).await;
        } => {}
    }
}

/// What a proxy asks for.
struct ListQuery {
    /// The version that it has; `None` for the full list.
    from: Option<u64>,
    /// How long the call may be held open until there is a newer version.
    hold: Time,
}

impl ListQuery {
    /// Reads the target of a request; `None` where that is not the endpoint list.
    fn parse(target: &str) -> Option<Self> {
        let query = target.strip_prefix("/catalog/members")?.trim_start_matches('?');
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name)?.1.parse().ok()
        };
        let hold_ms = number("hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        Some(Self { from: number("from"), hold: Time::from_millis(hold_ms) })
    }
}

/// The proxy has closed its connection, or used it for something else than one call after the other.
struct CallAbandoned;

async fn serve_requests(harness: &Rc<Harness>, proxy: usize, connection: &mut HttpConnection) {
    while let Received::Message(Message { target, .. }) = connection.read_message(MessageKind::Request).await
    {
        let response = match ListQuery::parse(&target) {
            None => encode_response(404, "", b""),
            Some(query) => match answer_query(harness, proxy, query, connection).await {
                Ok(response) => response,
                Err(CallAbandoned) => return,
            },
        };
        if connection.write_all(&response).await.is_err() {
            return;
        }
    }
}

async fn answer_query(
    harness: &Rc<Harness>,
    proxy: usize,
    query: ListQuery,
    connection: &mut HttpConnection,
) -> Result<Vec<u8>, CallAbandoned> {
    let number = harness.next_number();
    let (sender, response) = oneshot::channel();
    harness.list_calls.borrow_mut().insert((proxy, number), sender);
    let call = DiscoveryCall { proxy, number, known_version: query.from, max_wait: query.hold };
    harness.apply(Input::DiscoveryCalled(call));
    tokio::select! {
        biased;
        listed = response => match listed {
            Ok(Some(ListResponse { version, is_full, entries })) => {
                let scope = if is_full { ListScope::Full } else { ListScope::Changes };
                let body = encode_list(harness, proxy, version, scope, &entries).to_string();
                Ok(encode_response(200, "Content-Type: application/json\r\n", body.as_bytes()))
            }
            Ok(None) | Err(_) => Ok(encode_response(503, "", b"")),
        },
        has_bytes = connection.wait_for_bytes() => {
            harness.list_calls.borrow_mut().remove(&(proxy, number));
            harness.apply(Input::DiscoveryCallAbandoned { proxy, number });
            if has_bytes {
                let what = "a second call to discovery on a connection with one under way";
                harness.report_misbehaviour(proxy, what);
            }
            Err(CallAbandoned)
        }
    }
}
