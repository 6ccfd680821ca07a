//! Which servers are in which pool as the list changes, and which of them requests may go to.

use mosshead_site::{Pool, Site};

/// A server on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Its number in the decision module.
    pub number: u32,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its id.
    pub id: String,
    /// Whether new requests may be sent there.
    pub is_ready: bool,
}

/// The servers that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidates<'a> {
    /// Their numbers, in rising order.
    pub servers: &'a [u32],
    /// The index of their pool: another one than was asked for, if that is too small.
    pub pool: usize,
    /// Too few members are healthy: the servers are all ready members, ejected or not, so that the healthy ones are not
    /// overloaded. Servers that drain or have left the list are never among them.
    pub is_panic: bool,
}

/// The servers of a pool on the list, by their numbers in rising order.
#[derive(Clone, Debug, Default)]
struct PoolServers {
    /// All members, ready or not.
    members: Vec<u32>,
    /// Members that are ready, ejected or not.
    ready: Vec<u32>,
    /// Ready members that are not ejected.
    healthy: Vec<u32>,
}

/// The pool that requests go to where a route names a pool: that one, or a fallback of it.
#[derive(Clone, Copy, Debug)]
struct EffectivePool {
    index: usize,
    /// See [`Candidates::is_panic`].
    is_panic: bool,
}

/// The members of each pool of a site.
#[derive(Clone, Debug, Default)]
pub struct PoolMembers {
    list: Vec<ListedServer>,
    /// Numbers of the servers that the decision module has ejected.
    ejected: Vec<u32>,
    /// By the index of the pool in the site.
    pools: Vec<PoolServers>,
    /// By the index of the pool that a route names, like `pools`.
    effective_pools: Vec<EffectivePool>,
}

impl PoolMembers {
    /// Replaces the complete list.
    pub fn replace_list(&mut self, site: &Site, list: Vec<ListedServer>) {
        self.list = list;
        self.update_pools(site);
    }

    /// Updates one server; `None` if it has left the list.
    pub fn update_server(&mut self, site: &Site, number: u32, server: Option<ListedServer>) {
        self.list.retain(|known| known.number != number);
        self.list.extend(server);
        self.update_pools(site);
    }

    /// Replaces the numbers of the servers that the decision module has ejected.
    pub fn set_ejected(&mut self, site: &Site, ejected: Vec<u32>) {
        self.ejected = ejected;
        self.update_pools(site);
    }

    /// Computes all pools anew from the list and the ejected servers.
    fn update_pools(&mut self, site: &Site) {
        self.list.sort_by_key(|server| server.number);
        self.pools = site.pools.iter().map(|pool| self.servers_of(pool)).collect();
        let indices = 0..self.pools.len();
        self.effective_pools = indices.map(|index| self.effective_pool(site, index)).collect();
    }

    fn servers_of(&self, pool: &Pool) -> PoolServers {
        let numbers = |is_included: &dyn Fn(&ListedServer) -> bool| -> Vec<u32> {
            self.list.iter().filter(|server| is_included(server)).map(|server| server.number).collect()
        };
        let is_member = |server: &ListedServer| pool.has_member(&server.zone, &server.kind, &server.id);
        let is_ready = |server: &ListedServer| is_member(server) && server.is_ready;
        let is_healthy = |server: &ListedServer| is_ready(server) && !self.ejected.contains(&server.number);
        PoolServers { members: numbers(&is_member), ready: numbers(&is_ready), healthy: numbers(&is_healthy) }
    }

    /// Follows the fallbacks of a pool that is too small, and decides whether the pool in use is in panic.
    fn effective_pool(&self, site: &Site, named: usize) -> EffectivePool {
        let mut index = named;
        // Bounded by the number of pools: fallbacks may form a cycle.
        for _ in 0..self.pools.len() {
            match site.pools[index].fallback.filter(|_| !self.is_large_enough(site, index)) {
                Some(fallback) => index = fallback,
                None => break,
            }
        }
        let pool = &self.pools[index];
        let min_healthy = site.pools[index].panic_threshold * pool.ready.len() as f64;
        EffectivePool { index, is_panic: (pool.healthy.len() as f64) < min_healthy }
    }

    /// Whether a pool has a ready member, and the share of the list's servers that the site requires.
    fn is_large_enough(&self, site: &Site, index: usize) -> bool {
        let pool = &self.pools[index];
        let min_members = site.pools[index].min_member_share * self.list.len() as f64;
        !pool.ready.is_empty() && pool.members.len() as f64 >= min_members
    }

    /// The servers that a request may go to if its route leads to this pool; none if the pool and its fallbacks are empty.
    pub fn candidates(&self, pool: usize) -> Candidates<'_> {
        let Some(&EffectivePool { index, is_panic }) = self.effective_pools.get(pool) else {
            return Candidates { servers: &[], pool, is_panic: false };
        };
        let members = &self.pools[index];
        let servers = if is_panic || members.healthy.is_empty() { &members.ready } else { &members.healthy };
        Candidates { servers, pool: index, is_panic }
    }

    /// Whether a request whose route leads to this pool may still be sent to a server: asked again just before the first
    /// byte, since the server may have left the pool while the request was waiting.
    pub fn allows(&self, pool: usize, server: u32) -> bool {
        let effective = self.effective_pools.get(pool);
        effective.is_some_and(|effective| self.pools[effective.index].ready.binary_search(&server).is_ok())
    }
}
