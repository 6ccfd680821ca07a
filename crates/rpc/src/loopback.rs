//! An in-process transport, for tests and simulations.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use bytes::Bytes;

use crate::call::Peer;
use crate::error::CallError;
use crate::handlers::Handlers;
use crate::transport::{OutgoingCall, Transport};

/// Calls handlers of the same process without a network. Messages are still encoded and decoded. Clones share the same
/// simulated network. Requires a `tokio::task::LocalSet`, and a runtime with timers enabled for timeouts.
#[derive(Clone)]
pub struct LoopbackTransport {
    from: SocketAddrV4,
    network: Rc<RefCell<Network>>,
}

#[derive(Default)]
struct Network {
    hosts: HashMap<SocketAddrV4, Rc<Handlers>>,
    partitions: HashSet<Partition>,
}

/// A one-way partition: all messages from `from` to `to` are lost.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Partition {
    from: SocketAddrV4,
    to: SocketAddrV4,
}

impl Default for LoopbackTransport {
    fn default() -> LoopbackTransport {
        LoopbackTransport { from: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), network: Rc::default() }
    }
}

impl LoopbackTransport {
    /// Creates a network without hosts.
    pub fn new() -> LoopbackTransport {
        LoopbackTransport::default()
    }

    /// A transport on the same network, whose calls come from this address.
    pub fn at(&self, from: SocketAddrV4) -> LoopbackTransport {
        LoopbackTransport { from, network: Rc::clone(&self.network) }
    }

    /// Registers handlers at an address.
    pub fn serve(&self, address: SocketAddrV4, handlers: Rc<Handlers>) {
        self.network.borrow_mut().hosts.insert(address, handlers);
    }

    /// Removes the handlers at an address.
    pub fn stop_serving(&self, address: SocketAddrV4) {
        self.network.borrow_mut().hosts.remove(&address);
    }

    /// Drops all further messages from one address to another. The other direction is not affected.
    pub fn partition(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.network.borrow_mut().partitions.insert(Partition { from, to });
    }

    /// Ends a partition.
    pub fn heal(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.network.borrow_mut().partitions.remove(&Partition { from, to });
    }

    /// Waits forever if the message is lost, since neither end notices the loss.
    async fn deliver(&self, from: SocketAddrV4, to: SocketAddrV4) {
        let is_lost = self.network.borrow().partitions.contains(&Partition { from, to });
        if is_lost {
            std::future::pending::<()>().await;
        }
    }
}

impl Transport for LoopbackTransport {
    async fn exchange(&self, call: &OutgoingCall) -> Result<Bytes, CallError> {
        self.deliver(self.from, call.to).await;
        let handlers = self.network.borrow().hosts.get(&call.to).map(Rc::clone).ok_or(CallError::Connect)?;
        let result = handlers.handle(call.name, &call.body, Peer { address: self.from }).await;
        self.deliver(call.to, self.from).await;
        result.map(Bytes::from).map_err(CallError::Rejected)
    }
}
