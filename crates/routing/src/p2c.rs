//! Power of two choices: two servers are drawn and the one with the lower cost is selected. The two are random, or the
//! homes of a prompt's prefix.

use std::rc::Rc;

use mosshead_load_board::{Candidate, lower_load, random_index, two_distinct};
use mosshead_time::Instant;
use rand_core::RngCore;

use crate::affinity::rendezvous_rank;
use crate::load_kind::LoadKind;
use crate::router::Router;

/// Pending prompt tokens that weigh as much as one stream in flight where a decode server is selected.
const PENDING_TOKENS_PER_STREAM: f64 = 500.0;
/// What it costs to send a request without a prompt to another zone, in requests in flight: less than one, so that a server of
/// this zone with one request more is not preferred.
const CROSS_ZONE_REQUEST_COST: f64 = 0.6;

impl<R: RngCore> Router<R> {
    /// Selects a server for a request without a prompt; `None` where all are in `avoid` or none is up.
    pub fn select_server(&mut self, now: Instant, service: &str, avoid: &[Rc<str>]) -> Option<Rc<str>> {
        let selectable = self.selectable(now, service, LoadKind::Decode, avoid);
        let ids: Vec<Rc<str>> = selectable.iter().map(|endpoint| endpoint.id.clone()).collect();
        let drawn = self.draw_two_near(&ids);
        let cost =
            |router: &Self, id: &Rc<str>, _| router.streams_at(id) + router.cross_zone_request_cost(id);
        let id = self.select_cheaper(&drawn, cost)?;
        self.record_selection(&id);
        Some(id)
    }

    /// Two servers: with a key the prefix's homes, the likeliest one first; without one any two at random.
    pub(crate) fn draw_two(&mut self, ids: &[Rc<str>], affinity_key: Option<u64>) -> Vec<Rc<str>> {
        match affinity_key {
            Some(key) => self.prefix_homes(ids, key),
            None => match two_distinct(&mut self.rng, ids.len()) {
                Some((first, second)) => {
                    [first, second].iter().filter_map(|index| ids.get(*index).cloned()).collect()
                }
                None => ids.to_vec(),
            },
        }
    }

    /// The two servers that rank highest for the key. All proxies find the same two, and so do later prompts with the
    /// same prefix, which is then still cached there.
    fn prefix_homes(&self, ids: &[Rc<str>], affinity_key: u64) -> Vec<Rc<str>> {
        let rank = |id: &Rc<str>| {
            self.endpoints.get(id).map_or(0, |endpoint| rendezvous_rank(endpoint.id_hash, affinity_key))
        };
        let mut ranked: Vec<(u64, Rc<str>)> = ids.iter().map(|id| (rank(id), id.clone())).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(2).map(|(_, id)| id).collect()
    }

    /// Two servers at random, one of them in this proxy's zone if there is one.
    pub(crate) fn draw_two_near(&mut self, ids: &[Rc<str>]) -> Vec<Rc<str>> {
        let in_zone =
            |id: &&Rc<str>| self.endpoints.get(id).is_some_and(|endpoint| endpoint.server.zone == self.zone);
        let near: Vec<Rc<str>> = ids.iter().filter(in_zone).cloned().collect();
        if near.is_empty() || near.len() == ids.len() {
            return self.draw_two(ids, None);
        }
        let first = near[random_index(&mut self.rng, near.len())].clone();
        let others: Vec<Rc<str>> = ids.iter().filter(|id| **id != first).cloned().collect();
        let second = others[random_index(&mut self.rng, others.len())].clone();
        vec![first, second]
    }

    /// The cheaper of the servers drawn; a tie is broken at random. `cost` gets whether the server was drawn first.
    pub(crate) fn select_cheaper(
        &mut self,
        drawn: &[Rc<str>],
        cost: impl Fn(&Self, &Rc<str>, bool) -> f64,
    ) -> Option<Rc<str>> {
        let costs: Vec<f64> =
            drawn.iter().enumerate().map(|(index, id)| cost(self, id, index == 0)).collect();
        let index = match costs.as_slice() {
            [] => return None,
            [_] => 0,
            [first, second, ..] => {
                lower_load(&mut self.rng, Candidate::new(0, *first), Candidate::new(1, *second))
            }
        };
        drawn.get(index).cloned()
    }

    /// This proxy's load at a server, in streams in flight.
    pub(crate) fn streams_at(&self, id: &str) -> f64 {
        self.endpoints.get(id).map_or(f64::INFINITY, |endpoint| {
            endpoint.in_flight.estimate() + endpoint.pending_prefill_tokens / PENDING_TOKENS_PER_STREAM
        })
    }

    /// What it costs to send a request without a prompt out of this proxy's zone, in requests in flight.
    fn cross_zone_request_cost(&self, id: &str) -> f64 {
        let in_zone = self.endpoints.get(id).is_none_or(|endpoint| endpoint.server.zone == self.zone);
        if in_zone { 0.0 } else { CROSS_ZONE_REQUEST_COST }
    }
}
