//! Addresses and listening sockets on 127.0.0.0/8.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;

/// How many days can be played side by side by one program without sharing addresses.
const ADDRESS_BLOCKS: u8 = 16;
/// The first block begins at 127.64.0.0; a block takes two values of the second octet.
const FIRST_BLOCK_OCTET: u8 = 64;
/// Proxies that share a second octet of their addresses.
const PROXIES_PER_OCTET: usize = 250;
/// The backlog of a listener that accepts.
const ACCEPT_BACKLOG: i32 = 1024;
/// How many connections are begun to fill the backlog of an unreachable endpoint: more than the kernel queues.
const BACKLOG_FILL: usize = 4;

/// The last octet of an address, by what it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostOctet {
    /// A server's endpoint, by its address in the world.
    Server(u32),
    /// What the proxy itself listens on.
    Proxy,
    /// Discovery.
    Discovery,
}

impl HostOctet {
    fn value(self) -> u8 {
        match self {
            Self::Server(address) => (address % 250) as u8 + 1,
            Self::Proxy => 253,
            Self::Discovery => 254,
        }
    }
}

/// The addresses of one day. Days that one program plays side by side have different blocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AddressBlock(u8);

impl AddressBlock {
    pub(crate) fn allocate() -> Self {
        static ALLOCATED: AtomicU8 = AtomicU8::new(0);
        Self(ALLOCATED.fetch_add(1, Ordering::Relaxed) % ADDRESS_BLOCKS)
    }

    /// Each proxy has an address of its own for each endpoint, so that the endpoint knows who connects.
    pub(crate) fn host(self, proxy: usize, octet: HostOctet) -> Ipv4Addr {
        let second = FIRST_BLOCK_OCTET + 2 * self.0 + (proxy / PROXIES_PER_OCTET) as u8;
        Ipv4Addr::new(127, second, (proxy % PROXIES_PER_OCTET) as u8 + 1, octet.value())
    }
}

/// A listener that accepts connections, also at an address that was just given up.
///
/// # Errors
///
/// The address can't be bound.
pub(crate) fn bind_accepting(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind_listener(address, ACCEPT_BACKLOG)?.into())
}

fn bind_listener(address: SocketAddr, backlog: i32) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket)
}

/// An address at which connections are neither established nor refused, as long as this lives: the backlog of its listener is full, so
/// that the kernel drops what comes.
pub struct UnreachableListener {
    address: SocketAddr,
    _listener: Socket,
    _backlog: Vec<Socket>,
}

impl UnreachableListener {
    /// Makes this address unreachable; port 0 stands for any free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = bind_listener(address, 0)?;
        let address = listener.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self { address, _listener: listener, _backlog: fill_backlog(address) })
    }

    /// The address, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Connections that nobody accepts.
fn fill_backlog(address: SocketAddr) -> Vec<Socket> {
    let begin_connection = |_| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // The attempt takes its slot of the backlog whether or not it is established.
        let _ = socket.connect(&address.into());
        Some(socket)
    };
    (0..BACKLOG_FILL).filter_map(begin_connection).collect()
}
