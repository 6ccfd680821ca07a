//! Which server prefills a prompt and which one decodes it.

use std::rc::Rc;

use mosshead_registry::OperState;
use mosshead_time::Instant;
use rand_core::RngCore;

use crate::endpoint::Endpoint;
use crate::load_kind::LoadKind;
use crate::p2c::Selection;
use crate::prompt::{Prompt, ServerPair};
use crate::router::Router;

/// Prompt tokens that weigh as much as one stream in flight in the price of a prefill in another zone.
const PREFILL_TOKENS_PER_STREAM: f64 = 400.0;
/// A decode server prefills at this share of a prefill server's speed (PROTOCOL.md, Prefill and decode).
const DECODE_SERVER_PREFILL_SPEED: f64 = 0.5;

/// The decode servers of a service, by how their prompts are prefilled.
///
/// A prompt that is prefilled between the tokens of others delays all streams there; where both kinds of request met at
/// one server, streams of long answers would pause for too long.
struct DecodePools {
    /// Take streams whose prompt was prefilled elsewhere.
    handover: Vec<Rc<str>>,
    /// Prefill the prompts of their streams themselves.
    local_prefill: Vec<Rc<str>>,
    /// Whether the two pools are disjoint; if not, each contains all servers.
    is_split: bool,
}

impl<R: RngCore> Router<R> {
    /// Selects the servers of a prompt; `None` where no decode server can be sent to.
    pub fn select_pair(
        &mut self,
        now: Instant,
        service: &str,
        prompt: &Prompt,
        avoid: &[Rc<str>],
    ) -> Option<ServerPair> {
        let prefill_ids = self.trusted_prefill_ids(now, service, avoid);
        let pools = self.decode_pools(self.decode_ids(now, service, avoid), prefill_ids.len());
        self.update_mean_pending(service, LoadKind::Prefill);
        self.update_mean_pending(service, LoadKind::Decode);
        let remote = self.select_for_prefill(now, &prefill_ids, LoadKind::Prefill, prompt);
        let local = self.select_for_prefill(now, &pools.local_prefill, LoadKind::Decode, prompt)?;
        let may_prefill_locally = pools.is_split && self.fits_beside_decode(prompt);
        let pair = match remote.filter(|remote| !may_prefill_locally || self.is_faster(remote, &local)) {
            None => ServerPair { prefill: None, decode: local.id },
            Some(remote) => {
                let decode = self.select_decode(&pools.handover, Some(&remote.id))?;
                ServerPair { prefill: Some(remote.id), decode }
            }
        };
        self.record_pair(prompt, &pair);
        Some(pair)
    }

    /// Prefill servers that may be sent to and whose handles were not found expired of late.
    fn trusted_prefill_ids(&self, now: Instant, service: &str, avoid: &[Rc<str>]) -> Vec<Rc<str>> {
        self.selectable(now, service, LoadKind::Prefill, avoid)
            .into_iter()
            .filter(|endpoint| endpoint.handles_distrusted_until <= now)
            .map(|endpoint| endpoint.id.clone())
            .collect()
    }

    /// The decode servers that may be sent to, in the order of their hashes. It is the same at every proxy, so that proxies
    /// that may send to the same servers split them into the same pools.
    fn decode_ids(&self, now: Instant, service: &str, avoid: &[Rc<str>]) -> Vec<Rc<str>> {
        let mut ranked: Vec<(u64, Rc<str>)> = self
            .selectable(now, service, LoadKind::Decode, avoid)
            .iter()
            .map(|endpoint| (endpoint.id_hash, endpoint.id.clone()))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// Splits the decode servers `all`, in the order of [`Router::decode_ids`], into pools.
    fn decode_pools(&self, all: Vec<Rc<str>>, prefill_server_count: usize) -> DecodePools {
        // Where there are enough prefill servers, they prefill every prompt.
        if all.len() < 2 || prefill_server_count >= all.len() {
            return DecodePools { handover: all.clone(), local_prefill: all, is_split: false };
        }
        let share = (all.len() as f64 * self.weights.handover_decode_share).round() as usize;
        let (handover, local_prefill) = all.split_at(share.clamp(1, all.len() - 1));
        DecodePools { handover: handover.to_vec(), local_prefill: local_prefill.to_vec(), is_split: true }
    }

    /// The server of this kind that prefills the prompt at the lowest cost, of its prefix's two homes or of any two.
    fn select_for_prefill(
        &mut self,
        now: Instant,
        ids: &[Rc<str>],
        kind: LoadKind,
        prompt: &Prompt,
    ) -> Option<Selection> {
        let drawn = self.draw_two(ids, prompt.affinity_key());
        self.select_cheaper(&drawn, |router, id, is_first_home| {
            router.prefill_cost(now, id, kind, prompt, is_first_home)
        })
    }

    /// What a server has to prefill before this prompt is done, in tokens, with the prices of recomputed tokens and of
    /// another zone. The first home of a prefix counts as having it cached.
    fn prefill_cost(
        &self,
        now: Instant,
        id: &str,
        kind: LoadKind,
        prompt: &Prompt,
        is_first_home: bool,
    ) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else { return f64::INFINITY };
        let stream_weight = match kind {
            LoadKind::Prefill => 0.0,
            LoadKind::Decode => self.weights.stream_weight_tokens,
        };
        let is_cached =
            is_first_home || prompt.last_shared_part().is_none_or(|part| endpoint.has_cached(part.id));
        let recomputation =
            if is_cached { 0.0 } else { self.weights.recomputed_token_weight * prompt.shared_tokens() };
        let is_in_zone = endpoint.server.zone == self.zone;
        let zone_crossing =
            if is_in_zone { 0.0 } else { self.weights.cross_zone_streams * PREFILL_TOKENS_PER_STREAM };
        self.pending_of_other_proxies(now, endpoint, kind)
            + endpoint.pending_prefill_tokens
            + stream_weight * endpoint.in_flight.estimate()
            + prompt.unshared_tokens()
            + recomputation
            + zone_crossing
    }

    /// Prompt tokens that other proxies have pending there: by the server's last load report, or else by what this
    /// proxy has pending on the average.
    fn pending_of_other_proxies(&self, now: Instant, endpoint: &Endpoint, kind: LoadKind) -> f64 {
        let is_reported = endpoint.load_reported_at > Instant::ORIGIN
            && now < endpoint.load_reported_at + self.weights.load_report_lifetime;
        if kind == LoadKind::Prefill && is_reported {
            let prefills = (endpoint.prefill_load.estimate() - endpoint.own_prefills).max(0.0);
            return prefills * self.mean_prefill_tokens;
        }
        self.mean_pending_tokens.get(kind) * (self.proxy_count as f64 - 1.0)
    }

    /// Whether a decode server may prefill the prompt between the tokens of its streams.
    fn fits_beside_decode(&self, prompt: &Prompt) -> bool {
        prompt.unshared_tokens() <= self.weights.max_prefill_tokens_beside_decode
            && prompt.max_output_tokens <= self.weights.max_output_tokens_beside_decode
    }

    /// Whether a prefill elsewhere and the transfer of its KV cache take less time than a prefill at the decode server.
    fn is_faster(&self, remote: &Selection, local: &Selection) -> bool {
        let speed = self.weights.prefill_tokens_per_milli;
        let remote_millis = remote.cost / speed + self.weights.min_transfer_millis;
        remote_millis < local.cost / (speed * DECODE_SERVER_PREFILL_SPEED)
    }

    /// The decode server out of `ids` for a prompt that was prefilled at `prefill`, by power of two choices. The cost is in
    /// streams in flight and includes the zones that are crossed.
    fn select_decode(&mut self, ids: &[Rc<str>], prefill: Option<&Rc<str>>) -> Option<Rc<str>> {
        let prefill = prefill.and_then(|id| self.endpoints.get(id));
        let prefill_zone = prefill.map(|endpoint| endpoint.server.zone.clone()).unwrap_or_default();
        let drawn = self.draw_two_near(ids);
        let cost =
            |router: &Self, id: &Rc<str>, _| router.streams_at(id) + router.zone_cost(id, &prefill_zone);
        Some(self.select_cheaper(&drawn, cost)?.id)
    }

    /// What it costs that the KV cache and the request are sent between zones, in streams in flight.
    fn zone_cost(&self, id: &str, prefill_zone: &str) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else { return 0.0 };
        let cost =
            |zone: &str| if endpoint.server.zone == zone { 0.0 } else { self.weights.cross_zone_streams };
        cost(prefill_zone) + cost(&self.zone)
    }

    /// Records that the pair was selected, and that the shared part of the prompt is now cached where it is prefilled.
    fn record_pair(&mut self, prompt: &Prompt, pair: &ServerPair) {
        let prefilling_id = pair.prefill.as_ref().unwrap_or(&pair.decode);
        if let (Some(part), Some(endpoint)) =
            (prompt.last_shared_part(), self.endpoints.get_mut(prefilling_id))
        {
            endpoint.remember_part(part.id);
        }
        pair.prefill.iter().chain([&pair.decode]).for_each(|id| self.record_selection(id));
    }

    /// The decode server, once the prompt has been prefilled: the one that was selected, or another if that one has
    /// begun to drain or was ejected meanwhile. A prefill may take seconds, and a draining server must get no new
    /// request long before that (RULES.md, DRAIN).
    pub fn confirm_decode_server(
        &mut self,
        now: Instant,
        service: &str,
        pair: &ServerPair,
        avoid: &[Rc<str>],
    ) -> Option<Rc<str>> {
        let may_take_requests = |endpoint: &Endpoint| {
            endpoint.server.state == OperState::Up
                && !endpoint.server.is_suspected
                && endpoint.outlier.is_healthy(now)
        };
        if self.endpoints.get(&pair.decode).is_some_and(may_take_requests) {
            return Some(pair.decode.clone());
        }
        self.record_inconclusive(&pair.decode);
        let decode_ids = self.decode_ids(now, service, avoid);
        let decode = self.select_decode(&decode_ids, pair.prefill.as_ref())?;
        self.record_selection(&decode);
        Some(decode)
    }

    /// The prefill servers that a prompt may be sent to and whose load report is missing or old.
    pub fn prefill_servers_to_query(&mut self, now: Instant, service: &str, prompt: &Prompt) -> Vec<Rc<str>> {
        let Some(key) = prompt.affinity_key() else { return Vec::new() };
        let selectable = self.selectable(now, service, LoadKind::Prefill, &[]);
        let ids: Vec<Rc<str>> = selectable.into_iter().map(|endpoint| endpoint.id.clone()).collect();
        let mut drawn = self.draw_two(&ids, Some(key));
        drawn.retain(|id| {
            let refresh = self.weights.load_report_refresh;
            self.endpoints.get(id).is_some_and(|endpoint| now >= endpoint.load_reported_at + refresh)
        });
        drawn
    }
}
