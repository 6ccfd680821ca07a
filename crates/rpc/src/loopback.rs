use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use crate::call::{decode, encode};
use crate::{Call, CallFault, Handlers, Peer, Transport};

/// Calls without a network, straight to handlers of the same process, encoded and decoded all the same. Clones are
/// on the same network. Needs a `LocalSet`, and for time limits a runtime with time.
#[derive(Clone)]
pub struct Loopback {
    from: SocketAddrV4,
    network: Rc<RefCell<Network>>,
}

#[derive(Default)]
struct Network {
    hosts: HashMap<SocketAddrV4, Rc<Handlers>>,
    /// From, to.
    cuts: HashSet<(SocketAddrV4, SocketAddrV4)>,
}

impl Default for Loopback {
    fn default() -> Loopback {
        Loopback { from: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), network: Rc::default() }
    }
}

impl Loopback {
    /// A network with nobody on it.
    pub fn new() -> Loopback {
        Loopback::default()
    }

    /// The same network, as seen from an address.
    pub fn at(&self, from: SocketAddrV4) -> Loopback {
        Loopback { from, network: Rc::clone(&self.network) }
    }

    /// These handlers answer at an address.
    pub fn serve(&self, address: SocketAddrV4, handlers: Rc<Handlers>) {
        self.network.borrow_mut().hosts.insert(address, handlers);
    }

    /// Nobody answers at an address any more.
    pub fn stop(&self, address: SocketAddrV4) {
        self.network.borrow_mut().hosts.remove(&address);
    }

    /// What one address sends to another is lost from now on.
    pub fn cut(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.network.borrow_mut().cuts.insert((from, to));
    }

    /// It arrives again.
    pub fn join(&self, from: SocketAddrV4, to: SocketAddrV4) {
        self.network.borrow_mut().cuts.remove(&(from, to));
    }

    fn is_cut(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        self.network.borrow().cuts.contains(&(from, to))
    }

    async fn exchange(&self, to: SocketAddrV4, name: &str, body: &[u8]) -> Result<Vec<u8>, CallFault> {
        if self.is_cut(self.from, to) {
            std::future::pending::<()>().await;
        }
        let handlers = self.network.borrow().hosts.get(&to).map(Rc::clone).ok_or(CallFault::Connect)?;
        let answer = handlers.answer(name, body, Peer { address: self.from }).await;
        if self.is_cut(to, self.from) {
            std::future::pending::<()>().await;
        }
        answer.map_err(CallFault::Refused)
    }
}

impl Transport for Loopback {
    async fn call<C: Call>(
        &self,
        to: SocketAddrV4,
        call: &C,
        within: Duration,
    ) -> Result<C::Answer, CallFault> {
        let body = encode(call)?;
        let exchange = self.exchange(to, C::NAME, &body);
        let answer = tokio::time::timeout(within, exchange).await.map_err(|_| CallFault::Timeout)??;
        decode(&answer).ok_or(CallFault::Garbled)
    }
}
