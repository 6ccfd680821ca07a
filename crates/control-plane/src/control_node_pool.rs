//! The control nodes that a proxy watches, and from which of them it fetches the configuration.
//!
//! Invariant *fetched with quorum contact*: a proxy fetches the configuration only from a control node that
//! reports quorum contact. The revision in force at a proxy never decreases.

use core::net::SocketAddrV4;

use mosshead_time::{Duration, Instant};

use crate::injected_fault::{Faults, InjectedFault};
use crate::quorum_contact::QuorumContact;

/// The maximum number of control nodes that a proxy keeps in its pool.
const MAX_CONTROL_NODES: usize = 64;
/// How long after its release a control node can't be acquired again.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// A watched control node is released after it has had no quorum contact for this long.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);

/// A control node as a proxy knows it.
#[derive(Clone, Debug)]
struct PooledNode {
    address: SocketAddrV4,
    /// When it was last released, because of a failure or missing quorum contact; `None` if it never was.
    released_at: Option<Instant>,
    /// True if the proxy is watching it.
    is_acquired: bool,
}

/// The control nodes that a proxy knows, and which of them it watches.
#[derive(Clone, Debug, Default)]
pub struct ControlNodePool {
    nodes: Vec<PooledNode>,
    faults: Faults,
}

impl ControlNodePool {
    /// Creates a pool of the seed addresses.
    pub fn new(seeds: &[SocketAddrV4]) -> ControlNodePool {
        let mut pool = ControlNodePool::default();
        pool.add(seeds);
        pool
    }

    /// Returns the same pool with a fault that a test injects.
    #[doc(hidden)]
    #[cfg(feature = "fault-injection")]
    pub fn with_injected_fault(self, injected_fault: Option<InjectedFault>) -> ControlNodePool {
        ControlNodePool { faults: Faults::new(injected_fault), ..self }
    }

    /// Adds control nodes that the pool does not contain yet.
    pub fn add(&mut self, addresses: &[SocketAddrV4]) {
        for &address in addresses {
            let is_known = self.nodes.iter().any(|node| node.address == address);
            if !is_known && self.nodes.len() < MAX_CONTROL_NODES {
                self.nodes.push(PooledNode { address, released_at: None, is_acquired: false });
            }
        }
    }

    /// Updates the pool from the control nodes that a response lists. The list of a node with quorum contact
    /// is complete: nodes that have been released and are not on it are dropped.
    pub fn update_members(&mut self, addresses: &[SocketAddrV4], contact: QuorumContact) {
        self.add(addresses);
        if contact.is_confirmed() && !addresses.is_empty() {
            self.nodes.retain(|node| {
                node.is_acquired || node.released_at.is_none() || addresses.contains(&node.address)
            });
        }
    }

    /// Returns the addresses of all control nodes in the pool.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    /// Acquires a control node to watch: one that is not acquired and that was never released, or released
    /// longest ago. Returns `None` if there is none, or if it was released less than the retry delay ago, so
    /// that failing nodes are not called in a busy loop.
    pub fn acquire(&mut self, now: Instant) -> Option<SocketAddrV4> {
        let free = self.nodes.iter_mut().filter(|node| !node.is_acquired);
        let node = free.min_by_key(|node| node.released_at)?;
        if node.released_at.is_some_and(|released_at| now.duration_since(released_at) < RETRY_DELAY) {
            return None;
        }
        node.is_acquired = true;
        Some(node.address)
    }

    /// Returns an acquired control node to the pool, after a failure or if it has no quorum contact.
    pub fn release(&mut self, now: Instant, address: SocketAddrV4) {
        for node in self.nodes.iter_mut().filter(|node| node.address == address) {
            node.is_acquired = false;
            node.released_at = Some(now);
        }
    }

    /// Returns true if the configuration should be fetched from a control node that advertises
    /// `advertised_revision`.
    pub fn should_fetch_config(
        &self,
        revision_in_force: u64,
        advertised_revision: u64,
        contact: QuorumContact,
    ) -> bool {
        let may_fetch = contact.is_confirmed() || self.faults.is_injected(InjectedFault::FetchWithoutQuorum);
        may_fetch && advertised_revision > revision_in_force
    }
}

/// Decides how long a proxy watches one control node.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchSession {
    /// Since when the control node has been reporting no quorum contact; `None` while it has it.
    unconfirmed_since: Option<Instant>,
}

impl WatchSession {
    /// Returns true if the proxy should continue to watch the control node after this response.
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
