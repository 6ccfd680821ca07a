//! The servers: a listener for each proxy and address, opened and closed as the world has it.

mod connection;

pub(crate) use connection::ConnectionCommand;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use mosshead_world::scenario::LinkKind;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

use crate::harness::Harness;
use crate::loopback::{HostOctet, UnreachableListener, bind_accepting};
use crate::proxy_links::LinkEndpoint;

/// How long a listener waits after it could not accept, since descriptors are short.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// An address of the world, as one proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ServerEndpoint {
    proxy: usize,
    address: u32,
}

/// What a proxy finds at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// A server listens.
    Accepting,
    /// Connections are neither established nor refused.
    Unreachable,
    /// Nothing listens: the kernel refuses.
    Refusing,
}

/// The socket that makes an address what it is. Dropping it closes it.
enum Listener {
    Accepting { _task: AcceptTask },
    Unreachable(UnreachableListener),
    Closed,
}

impl Listener {
    fn reachability(&self) -> Reachability {
        match self {
            Self::Accepting { .. } => Reachability::Accepting,
            Self::Unreachable(_) => Reachability::Unreachable,
            Self::Closed => Reachability::Refusing,
        }
    }
}

/// The task that accepts connections; it ends with this.
struct AcceptTask(AbortHandle);

impl Drop for AcceptTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The listeners of all servers.
pub(crate) struct Servers {
    proxies: usize,
    listeners: RefCell<HashMap<ServerEndpoint, Listener>>,
    /// The port of an address is drawn at its first use, and stays.
    bound: RefCell<HashMap<ServerEndpoint, SocketAddr>>,
    /// The topology that the listeners follow.
    topology: Cell<u64>,
}

impl Servers {
    pub(crate) fn new(proxies: usize) -> Self {
        Self {
            proxies,
            listeners: RefCell::default(),
            bound: RefCell::default(),
            topology: Cell::new(u64::MAX),
        }
    }

    /// Where a proxy finds an address of the world; a port that refuses where it has not been used yet.
    pub(crate) fn socket_address(&self, proxy: usize, address: u32) -> SocketAddr {
        let unused = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
        self.bound.borrow().get(&ServerEndpoint { proxy, address }).copied().unwrap_or(unused)
    }
}

/// Opens and closes listeners as the world has it now.
pub(crate) fn follow_topology(harness: &Rc<Harness>) {
    let (topology, addresses) = harness.with_world(|world| (world.topology_version(), world.address_count()));
    if harness.servers.topology.replace(topology) == topology {
        return;
    }
    harness.topology_changes.send_modify(|changes| *changes += 1);
    for address in 0..addresses {
        for proxy in 0..harness.servers.proxies {
            let endpoint = ServerEndpoint { proxy, address };
            set_listener(harness, endpoint, wanted_reachability(harness, endpoint));
        }
    }
}

fn wanted_reachability(harness: &Harness, endpoint: ServerEndpoint) -> Reachability {
    harness.with_world(|world| match world.listener_at(endpoint.address) {
        None => Reachability::Refusing,
        Some((_, true)) => Reachability::Unreachable,
        Some((server, false)) => {
            let zone = world.server_traits(server).zone;
            match world.link_connects(endpoint.proxy, LinkKind::Server, Some(zone)) {
                true => Reachability::Accepting,
                false => Reachability::Unreachable,
            }
        }
    })
}

fn set_listener(harness: &Rc<Harness>, endpoint: ServerEndpoint, wanted: Reachability) {
    let mut listeners = harness.servers.listeners.borrow_mut();
    let listener = listeners.entry(endpoint).or_insert(Listener::Closed);
    if listener.reachability() == wanted {
        return;
    }
    // The former socket goes first, since two can't be bound to one address. That of an accepting task is closed only
    // when the runtime drops the aborted task: an address that is to become unreachable at once after that can't be
    // bound, and refuses. That is a known fault.
    *listener = Listener::Closed;
    let opened = match wanted {
        Reachability::Refusing => Ok(Listener::Closed),
        Reachability::Accepting => accept_at(harness, endpoint),
        Reachability::Unreachable => {
            UnreachableListener::bind(bind_address(harness, endpoint)).map(Listener::Unreachable)
        }
    };
    // What could not be bound refuses, and is tried again with the next change.
    *listener = opened.unwrap_or(Listener::Closed);
    if let Listener::Unreachable(unreachable) = listener {
        harness.servers.bound.borrow_mut().insert(endpoint, unreachable.address());
    }
}

/// The address that was bound before, or a free port.
fn bind_address(harness: &Harness, endpoint: ServerEndpoint) -> SocketAddr {
    let host = harness.addresses.host(endpoint.proxy, HostOctet::Server(endpoint.address));
    let bound = harness.servers.bound.borrow().get(&endpoint).copied();
    bound.unwrap_or(SocketAddr::new(host.into(), 0))
}

fn accept_at(harness: &Rc<Harness>, endpoint: ServerEndpoint) -> io::Result<Listener> {
    let listener = bind_accepting(bind_address(harness, endpoint))?;
    harness.servers.bound.borrow_mut().insert(endpoint, listener.local_addr()?);
    let task = spawn_local(accept_connections(harness.clone(), endpoint, listener));
    Ok(Listener::Accepting { _task: AcceptTask(task.abort_handle()) })
}

async fn accept_connections(harness: Rc<Harness>, endpoint: ServerEndpoint, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(serve_stream(harness.clone(), endpoint, stream))),
            // Descriptors are short: whoever connects waits.
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_stream(harness: Rc<Harness>, endpoint: ServerEndpoint, stream: TcpStream) {
    let ServerEndpoint { proxy, address } = endpoint;
    let (server, zone) = harness.with_world(|world| {
        let server = world.listener_at(address).map(|(server, _)| server);
        (server, server.map(|server| world.server_traits(server).zone))
    });
    let socket_address = harness.servers.socket_address(proxy, address);
    let link = LinkEndpoint { kind: LinkKind::Server, proxy, server, zone, address: socket_address };
    if let Ok(stream) = harness.links.relay(link, stream).await {
        connection::serve(harness, endpoint, stream).await;
    }
}
