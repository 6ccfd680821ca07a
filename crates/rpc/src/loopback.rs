use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use crate::call::{decode, encode};
use crate::{Call, CallError, Handlers, Peer, Transport};

/// Calls without a network, straight to handlers of the same process, encoded and decoded all the same. Clones are
/// on the same network. Needs a `LocalSet`, and for time limits a runtime with time.
#[derive(Clone)]
pub struct LoopbackTransport {
    from: SocketAddrV4,
    network: Rc<RefCell<Network>>,
}

#[derive(Default)]
struct Network {
    hosts: HashMap<SocketAddrV4, Rc<Handlers>>,
    /// From, to.
    cuts: HashSet<(SocketAddrV4, SocketAddrV4)>,
}

impl Default for LoopbackTransport {
    fn default() -> LoopbackTransport {
        LoopbackTransport { from: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), network: Rc::default() }
    }
}

impl LoopbackTransport {
    /// A network with nobody on it.
    pub fn new() -> LoopbackTransport {
        LoopbackTransport::default()
    }

    /// The same network, as seen from an address.
    pub fn at(&self, from: SocketAddrV4) -> LoopbackTransport {
        LoopbackTransport { from, network: Rc::clone(&self.network) }
    }

    /// These handlers answer at an address.
    pub fn serve(&self, address: SocketAddrV4, handlers: Rc<Handlers>) {
        self.network.borrow_mut().hosts.insert(address, handlers);
    }

    /// Nobody answers at an address any more.
    pub fn stop_serving(&self, address: SocketAddrV4) {
        self.network.borrow_mut().hosts.remove(&address);
    }

    /// What one address sends to another is lost from now on.
    pub fn partition(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.network.borrow_mut().cuts.insert((from, to));
    }

    /// It arrives again.
    pub fn heal(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.network.borrow_mut().cuts.remove(&(from, to));
    }

    fn is_partitioned(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        self.network.borrow().cuts.contains(&(from, to))
    }

    async fn exchange(&self, to: SocketAddrV4, name: &str, body: &[u8]) -> Result<Vec<u8>, CallError> {
        if self.is_partitioned(self.from, to) {
            std::future::pending::<()>().await;
        }
        let handlers = self.network.borrow().hosts.get(&to).map(Rc::clone).ok_or(CallError::Connect)?;
        let answer = handlers.answer(name, body, Peer { address: self.from }).await;
        if self.is_partitioned(to, self.from) {
            std::future::pending::<()>().await;
        }
        answer.map_err(CallError::Rejected)
    }
}

impl Transport for LoopbackTransport {
    async fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        timeout: Duration,
    ) -> Result<C::Response, CallError> {
        let body = encode(call)?;
        let exchange = self.exchange(to, C::NAME, &body);
        let answer = tokio::time::timeout(timeout, exchange).await.map_err(|_| CallError::Timeout)??;
        decode(&answer).ok_or(CallError::Malformed)
    }
}
