//! Which control nodes a proxy watches, and whose configuration it fetches.
//!
//! Invariant *fetched with quorum contact*: a proxy fetches the configuration only from a control node that reports
//! quorum contact, and the revision in force at a proxy never goes back.

use core::net::SocketAddrV4;

use mosshead_time::{Duration, Instant};

use crate::injected_fault::{Faults, InjectedFault};
use crate::quorum_contact::QuorumContact;

/// The most control nodes that a proxy knows.
const MAX_CONTROL_NODES: usize = 64;
/// How long a released control node is not acquired again.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// A control node without quorum contact for this long is released.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);

/// A control node as a proxy knows it.
#[derive(Clone, Debug)]
struct PooledNode {
    address: SocketAddrV4,
    /// When it was last released, after a failure or without quorum contact; `None` if it never was.
    released_at: Option<Instant>,
    /// Whether the proxy watches it.
    is_acquired: bool,
}

/// The control nodes that a proxy knows, and which of them it is watching.
#[derive(Clone, Debug, Default)]
pub struct ControlNodePool {
    nodes: Vec<PooledNode>,
    faults: Faults,
}

impl ControlNodePool {
    /// The pool of the seeds.
    pub fn new(seeds: &[SocketAddrV4]) -> ControlNodePool {
        let mut pool = ControlNodePool::default();
        pool.add(seeds);
        pool
    }

    /// The same pool with a fault that a test injects.
    #[doc(hidden)]
    #[cfg(feature = "fault-injection")]
    pub fn with_injected_fault(self, injected_fault: Option<InjectedFault>) -> ControlNodePool {
        ControlNodePool { faults: Faults::new(injected_fault), ..self }
    }

    /// Adds control nodes that are not known yet.
    pub fn add(&mut self, addresses: &[SocketAddrV4]) {
        for &address in addresses {
            let is_known = self.nodes.iter().any(|node| node.address == address);
            if !is_known && self.nodes.len() < MAX_CONTROL_NODES {
                self.nodes.push(PooledNode { address, released_at: None, is_acquired: false });
            }
        }
    }

    /// Takes in the control nodes that a response lists. A node with quorum contact lists all that there are: others
    /// that have been released are dropped.
    pub fn update_members(&mut self, addresses: &[SocketAddrV4], contact: QuorumContact) {
        self.add(addresses);
        if contact.is_confirmed() && !addresses.is_empty() {
            self.nodes.retain(|node| {
                node.is_acquired || node.released_at.is_none() || addresses.contains(&node.address)
            });
        }
    }

    /// The control nodes that are known.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    /// Acquires a control node to watch: one that is not acquired, and was released longest ago or never. `None` if
    /// there is none, or it was released within the retry delay: nodes that fail at once are not called in a busy loop.
    pub fn acquire(&mut self, now: Instant) -> Option<SocketAddrV4> {
        let free = self.nodes.iter_mut().filter(|node| !node.is_acquired);
        let node = free.min_by_key(|node| node.released_at)?;
        if node.released_at.is_some_and(|released_at| now.duration_since(released_at) < RETRY_DELAY) {
            return None;
        }
        node.is_acquired = true;
        Some(node.address)
    }

    /// Returns an acquired control node to the pool, after a failure or without quorum contact.
    pub fn release(&mut self, now: Instant, address: SocketAddrV4) {
        for node in self.nodes.iter_mut().filter(|node| node.address == address) {
            node.is_acquired = false;
            node.released_at = Some(now);
        }
    }

    /// Whether the configuration is fetched from a control node that advertises a revision.
    pub fn should_fetch_config(
        &self,
        revision_in_force: u64,
        advertised_revision: u64,
        contact: QuorumContact,
    ) -> bool {
        let may_fetch = contact.is_confirmed() || self.faults.include(InjectedFault::FetchWithoutQuorum);
        may_fetch && advertised_revision > revision_in_force
    }
}

/// Decides how long a proxy watches one control node.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchSession {
    /// Since when the control node has reported no quorum contact.
    unconfirmed_since: Option<Instant>,
}

impl WatchSession {
    /// Whether the proxy goes on watching the control node after this response.
    pub fn should_continue(&mut self, now: Instant, contact: QuorumContact) -> bool {
        match contact {
            QuorumContact::Confirmed => {
                self.unconfirmed_since = None;
                true
            }
            QuorumContact::Unconfirmed => {
                let since = *self.unconfirmed_since.get_or_insert(now);
                now.duration_since(since) < CONTACT_TIMEOUT
            }
        }
    }
}
