//! Who is in which pool as the list changes, and who may be drawn from.

use mosshead_site::Site;

/// A server on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its number with the decision module.
    pub number: u32,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its id.
    pub id: String,
    /// Whether something new may be sent there.
    pub ready: bool,
}

/// The servers that a job may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidates<'a> {
    /// Their numbers, in rising order.
    pub servers: &'a [u32],
    /// The pool that they are of: another than the one asked for, where that is short.
    pub pool: usize,
    /// Too few are ready: the servers are all members, ready or shunned, so that those few are not overrun. One
    /// that drains or is gone is in no case among them.
    pub panic: bool,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    members: Vec<u32>,
    usable: Vec<u32>,
    healthy: Vec<u32>,
}

/// The members of each pool.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Vec<Listed>,
    shunned: Vec<u32>,
    pools: Vec<Pool>,
    /// The pool in use where each is asked for, and whether it panics.
    in_use: Vec<(usize, bool)>,
}

impl Members {
    /// Takes the whole list.
    pub fn replace(&mut self, site: &Site, list: Vec<Listed>) {
        self.list = list;
        self.settle(site);
    }

    /// Takes news of one server; `None` where it has left the list.
    pub fn change(&mut self, site: &Site, number: u32, listed: Option<Listed>) {
        self.list.retain(|known| known.number != number);
        self.list.extend(listed);
        self.settle(site);
    }

    /// Takes whom the decision module holds for sick just now.
    pub fn shun(&mut self, site: &Site, shunned: Vec<u32>) {
        self.shunned = shunned;
        self.settle(site);
    }

    fn settle(&mut self, site: &Site) {
        self.list.sort_by_key(|listed| listed.number);
        let numbers = |keep: &dyn Fn(&Listed) -> bool| -> Vec<u32> {
            self.list.iter().filter(|listed| keep(listed)).map(|listed| listed.number).collect()
        };
        let pools: Vec<Pool> = (site.pools.iter())
            .map(|pool| {
                let has = |listed: &Listed| pool.has(&listed.zone, &listed.kind, &listed.id);
                let usable = |listed: &Listed| has(listed) && listed.ready;
                let healthy = |listed: &Listed| usable(listed) && !self.shunned.contains(&listed.number);
                Pool { members: numbers(&has), usable: numbers(&usable), healthy: numbers(&healthy) }
            })
            .collect();
        let count = self.list.len() as f64;
        let enough = |at: usize| {
            let pool: &Pool = &pools[at];
            !pool.usable.is_empty() && pool.members.len() as f64 >= site.pools[at].least * count
        };
        let in_use = |asked: usize| {
            let mut at = asked;
            // As many steps as there are pools: a circle of fallbacks ends too.
            for _ in 0..pools.len() {
                match site.pools[at].fallback.filter(|_| !enough(at)) {
                    Some(next) => at = next,
                    None => break,
                }
            }
            let pool = &pools[at];
            let panic = (pool.healthy.len() as f64) < site.pools[at].panic * pool.usable.len() as f64;
            (at, panic)
        };
        self.in_use = (0..pools.len()).map(in_use).collect();
        self.pools = pools;
    }

    /// Whom a job may go to whose route leads to this pool: nobody, where it and its fallbacks are empty.
    pub fn candidates(&self, pool: usize) -> Candidates<'_> {
        let Some(&(at, panic)) = self.in_use.get(pool) else {
            return Candidates { servers: &[], pool, panic: false };
        };
        let of = &self.pools[at];
        let servers = if panic || of.healthy.is_empty() { &of.usable } else { &of.healthy };
        Candidates { servers, pool: at, panic }
    }

    /// Whether a server may still be sent a job of this pool: asked again just before the first byte, since the
    /// server may have left the pool while the job was held.
    pub fn allows(&self, pool: usize, server: u32) -> bool {
        let of = self.in_use.get(pool).map(|(at, _)| &self.pools[*at]);
        of.is_some_and(|of| of.usable.binary_search(&server).is_ok())
    }
}
