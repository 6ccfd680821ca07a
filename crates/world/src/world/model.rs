//! What the world and its host talk about: requests, servers, connections, and what crosses between them.

use super::LinkFault;
use crate::Time;
use crate::discovery::DiscoveryCall;
use crate::events::{AttemptOutcome, ClientResponse};
use crate::server::LoadReport;

/// A booking server. Servers are numbered in the order of their creation; a number is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

impl ServerId {
    pub(super) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A request of a client. Numbered in the order in which they are sent; a number is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A connection from a proxy to a server. The host numbers them; a number is not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The state of a server on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Its process runs.
    Serving,
    /// It finishes what it has in flight.
    Draining,
    /// It is gone.
    Deleted,
}

/// An entry of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The server.
    pub server: ServerId,
    /// The address that it listens on. Addresses are numbered from 0, and used again.
    pub address: u32,
    /// Its state.
    pub state: ServerState,
    /// When its process started; zero where that was before the day.
    pub started_at: Time,
}

/// Discovery's response to a call: the complete list, or the entries that have changed since the caller's version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListResponse {
    /// The version that the caller has after this response.
    pub version: u64,
    /// Whether `entries` is the complete list: a server that is missing from it is gone.
    pub is_full: bool,
    /// One entry for each server that is listed or has changed.
    pub entries: Vec<ListEntry>,
}

/// Who establishes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handshake {
    /// The world, in simulated time.
    Simulated,
    /// A kernel has done it already: the time that it takes is added to the first request.
    DoneByKernel,
}

/// A request that a client sends to a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of the proxy.
    pub proxy: usize,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// How long the client waits.
    pub time_left: Time,
    /// Whether it comes on a connection of its own, which is closed afterwards (on loopback).
    pub uses_own_connection: bool,
}

/// What the proxies do. The host passes it to [`World::handle_input`](super::World::handle_input).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// A proxy opens a connection to a server.
    ConnectionOpened {
        /// Its id, a new one.
        connection: ConnectionId,
        /// The proxy.
        proxy: usize,
        /// The address that it connects to.
        address: u32,
        /// Who establishes it.
        handshake: Handshake,
    },
    /// The first byte of an attempt leaves a proxy.
    AttemptStarted {
        /// The connection that it is sent on.
        connection: ConnectionId,
        /// The request.
        request: RequestId,
    },
    /// The last byte of an attempt leaves a proxy.
    AttemptWritten {
        /// The connection that it was sent on.
        connection: ConnectionId,
        /// The request.
        request: RequestId,
        /// Whether method, target, id and body are the client's.
        is_intact: bool,
    },
    /// A probe leaves a proxy.
    ProbeSent {
        /// The connection that it is sent on.
        connection: ConnectionId,
        /// The host's number for it, which comes back with the response.
        number: u64,
    },
    /// A proxy closes a connection.
    ConnectionClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A proxy calls discovery.
    DiscoveryCalled(DiscoveryCall),
    /// A proxy no longer waits for discovery's response.
    DiscoveryCallAbandoned {
        /// The proxy.
        proxy: usize,
        /// The number of the call.
        number: u64,
    },
    /// A proxy sends a client its response.
    ResponseSent {
        /// The request.
        request: RequestId,
        /// The response.
        response: ClientResponse,
    },
    /// A proxy is up, and clients can reach it.
    ProxyStarted {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy is down.
    ProxyStopped {
        /// The proxy.
        proxy: usize,
    },
}

/// What reaches the proxies, or happens to them. The host carries it out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A client sends a request.
    RequestSent(Request),
    /// A client has left.
    RequestWithdrawn {
        /// The request.
        request: RequestId,
        /// The proxy that has it.
        proxy: usize,
    },
    /// A connection is established.
    ConnectionEstablished(ConnectionId),
    /// A connection was refused.
    ConnectionRefused(ConnectionId),
    /// The server's side reset a connection.
    ConnectionReset(ConnectionId),
    /// The response to the attempt on a connection.
    AttemptAnswered {
        /// The connection.
        connection: ConnectionId,
        /// The request.
        request: RequestId,
        /// What kind of response it is.
        outcome: AttemptOutcome,
        /// The load report in the response.
        report: LoadReport,
    },
    /// The response to a probe.
    ProbeAnswered {
        /// The connection.
        connection: ConnectionId,
        /// The number of the probe.
        number: u64,
        /// The load report.
        report: LoadReport,
    },
    /// Discovery's response to a call, or `None` where the call failed.
    DiscoveryResponded(DiscoveryCall, Option<ListResponse>),
    /// A proxy is to be stopped by SIGTERM.
    StopProxy(usize),
    /// A proxy is to be killed.
    KillProxy(usize),
    /// A proxy is to be started, for the first time or again.
    StartProxy(usize),
    /// Discovery moves for a proxy, which is to be notified by SIGHUP.
    MoveDiscovery(usize),
    /// A misbehaving client connects to a proxy (on loopback).
    ClientMisbehaves {
        /// The proxy.
        proxy: usize,
        /// A random number, by which the host chooses the kind of misbehavior.
        choice: u64,
    },
    /// A proxy is to be suspended.
    PauseProxy(usize),
    /// A suspended proxy is to go on.
    ResumeProxy(usize),
    /// A fault of links begins or ends.
    LinkFaultChanged {
        /// The fault.
        fault: LinkFault,
        /// Whether the fault begins; it ends otherwise.
        is_active: bool,
    },
}

/// The true state of a server, for the oracle and for charts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// The address that it listens on.
    pub address: u32,
    /// Whether an attempt that is sent to it now can be served.
    pub is_usable: bool,
    /// How many requests it executes or has in its queue.
    pub in_flight: f64,
    /// Its present capacity in standard cores: 0 while it hangs, less than usual while it is congested.
    pub capacity: f64,
}
