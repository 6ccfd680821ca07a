//! Power of two choices: two servers are drawn, and the one with the lower cost is selected. The two are either random
//! or the home servers of a prompt's prefix.

use std::rc::Rc;

use mosshead_load_board::{Candidate, lower_load, random_index, two_distinct};
use mosshead_time::Instant;
use rand_core::RngCore;

use crate::affinity::rendezvous_rank;
use crate::load_kind::LoadKind;
use crate::router::Router;

/// Pending prompt tokens that cost as much as one stream in flight when a decode server is selected.
const PENDING_TOKENS_PER_STREAM: f64 = 500.0;
/// The cost of sending a request without a prompt to another zone, in requests in flight. It is less than one, so that
/// a server in this zone with one more request in flight is not preferred.
const CROSS_ZONE_REQUEST_COST: f64 = 0.6;

impl<R: RngCore> Router<R> {
    /// Selects a server for a request without a prompt. Returns `None` if no server outside `avoid` is up.
    pub fn select_server(&mut self, now: Instant, service: &str, avoid: &[Rc<str>]) -> Option<Rc<str>> {
        let selectable = self.selectable(now, service, LoadKind::Decode, avoid);
        let ids: Vec<Rc<str>> = selectable.iter().map(|endpoint| endpoint.id.clone()).collect();
        let drawn = self.draw_two_preferring_same_zone(&ids);
        let cost =
            |router: &Self, id: &Rc<str>, _| router.streams_at(id) + router.cross_zone_request_cost(id);
        let id = self.select_cheaper(&drawn, cost)?;
        self.record_selection(&id);
        Some(id)
    }

    /// Draws two servers, or fewer if there are fewer: with a key the home servers of the prefix, the highest ranked
    /// one first; without a key two at random.
    pub(crate) fn draw_two(&mut self, ids: &[Rc<str>], affinity_key: Option<u64>) -> Vec<Rc<str>> {
        match affinity_key {
            Some(key) => self.home_servers(ids, key),
            None => match two_distinct(&mut self.rng, ids.len()) {
                Some((first, second)) => {
                    [first, second].iter().filter_map(|index| ids.get(*index).cloned()).collect()
                }
                None => ids.to_vec(),
            },
        }
    }

    /// The two servers that rank highest for the key. Every proxy computes the same two, so later prompts with the same
    /// prefix go to them as well, and probably find it in their prefix cache.
    fn home_servers(&self, ids: &[Rc<str>], affinity_key: u64) -> Vec<Rc<str>> {
        let rank = |id: &Rc<str>| {
            self.endpoints.get(id).map_or(0, |endpoint| rendezvous_rank(endpoint.id_hash, affinity_key))
        };
        let mut ranked: Vec<(u64, Rc<str>)> = ids.iter().map(|id| (rank(id), id.clone())).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(2).map(|(_, id)| id).collect()
    }

    /// Draws two servers at random, at least one of them in this proxy's zone if there is any.
    pub(crate) fn draw_two_preferring_same_zone(&mut self, ids: &[Rc<str>]) -> Vec<Rc<str>> {
        let is_in_same_zone =
            |id: &&Rc<str>| self.endpoints.get(id).is_some_and(|endpoint| endpoint.server.zone == self.zone);
        let same_zone_ids: Vec<Rc<str>> = ids.iter().filter(is_in_same_zone).cloned().collect();
        if same_zone_ids.is_empty() || same_zone_ids.len() == ids.len() {
            return self.draw_two(ids, None);
        }
        let first = same_zone_ids[random_index(&mut self.rng, same_zone_ids.len())].clone();
        let others: Vec<Rc<str>> = ids.iter().filter(|id| **id != first).cloned().collect();
        let second = others[random_index(&mut self.rng, others.len())].clone();
        vec![first, second]
    }

    /// Selects the server with the lower cost of those drawn; a tie is broken at random. The last argument of `cost` is
    /// true for the server that was drawn first.
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

    /// This proxy's load on a server, in streams in flight; infinite if the server is unknown.
    pub(crate) fn streams_at(&self, id: &str) -> f64 {
        self.endpoints.get(id).map_or(f64::INFINITY, |endpoint| {
            endpoint.in_flight.estimate() + endpoint.pending_prefill_tokens / PENDING_TOKENS_PER_STREAM
        })
    }

    /// The cost of sending a request without a prompt to this server's zone, in requests in flight.
    fn cross_zone_request_cost(&self, id: &str) -> f64 {
        let is_in_same_zone = self.endpoints.get(id).is_none_or(|endpoint| endpoint.server.zone == self.zone);
        if is_in_same_zone { 0.0 } else { CROSS_ZONE_REQUEST_COST }
    }
}
