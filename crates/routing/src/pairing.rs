//! Selects the pair of servers for a prompt: one that prefills it and one that decodes it.

use std::rc::Rc;

use mosshead_registry::OperState;
use mosshead_time::Instant;
use rand_core::RngCore;

use crate::endpoint::Endpoint;
use crate::load_kind::LoadKind;
use crate::prompt::{Prompt, ServerPair};
use crate::router::Router;

/// Prompt tokens that cost as much as one stream in flight when the cost of a prefill in another zone is computed.
const PREFILL_TOKENS_PER_STREAM: f64 = 400.0;
/// The longest local prefill, as a share of the route's [`Prompt::max_event_gap`]. A decode server interleaves a local
/// prefill with the tokens of its streams: each token waits for a part of the prefill, and an event waits for the parts
/// of all its tokens.
const MAX_LOCAL_PREFILL_SHARE: f64 = 0.125;
const MILLIS_PER_SECOND: f64 = 1_000.0;

impl<R: RngCore> Router<R> {
    /// Selects the servers for a prompt. Returns `None` if no decode server is available.
    pub fn select_pair(
        &mut self,
        now: Instant,
        service: &str,
        prompt: &Prompt,
        avoid: &[Rc<str>],
    ) -> Option<ServerPair> {
        let prefill_ids = self.handover_prefill_ids(now, service, avoid);
        let decode_ids = self.decode_ids(now, service, avoid);
        self.update_mean_pending(service, LoadKind::Prefill);
        self.update_mean_pending(service, LoadKind::Decode);
        let remote = if self.prefers_local_prefill(now, service, prompt) {
            None
        } else {
            self.select_for_prefill(now, &prefill_ids, LoadKind::Prefill, prompt)
        };
        let pair = match remote {
            None => {
                let local = self.select_for_prefill(now, &decode_ids, LoadKind::Decode, prompt)?;
                ServerPair { prefill: None, decode: local }
            }
            Some(prefill) => {
                let decode = self.select_decode(&decode_ids, Some(&prefill))?;
                ServerPair { prefill: Some(prefill), decode }
            }
        };
        self.record_pair(prompt, &pair);
        Some(pair)
    }

    /// The available prefill servers whose handovers are not suspended.
    fn handover_prefill_ids(&self, now: Instant, service: &str, avoid: &[Rc<str>]) -> Vec<Rc<str>> {
        self.selectable(now, service, LoadKind::Prefill, avoid)
            .into_iter()
            .filter(|endpoint| endpoint.handovers_suspended_until <= now)
            .map(|endpoint| endpoint.id.clone())
            .collect()
    }

    /// The available decode servers, ordered by the hashes of their ids. Proxies that may send to the same servers have
    /// them in the same order.
    fn decode_ids(&self, now: Instant, service: &str, avoid: &[Rc<str>]) -> Vec<Rc<str>> {
        let mut ranked: Vec<(u64, Rc<str>)> = self
            .selectable(now, service, LoadKind::Decode, avoid)
            .iter()
            .map(|endpoint| (endpoint.id_hash, endpoint.id.clone()))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// Selects the server of this kind with the lower cost of prefilling the prompt, out of its prefix's home servers,
    /// or out of two random servers if the prompt shares no prefix.
    fn select_for_prefill(
        &mut self,
        now: Instant,
        ids: &[Rc<str>],
        kind: LoadKind,
        prompt: &Prompt,
    ) -> Option<Rc<str>> {
        let drawn = self.draw_two(ids, prompt.affinity_key());
        self.select_cheaper(&drawn, |router, id, is_first_home| {
            router.prefill_cost(now, id, kind, prompt, is_first_home)
        })
    }

    /// The cost of prefilling the prompt on a server, in tokens: all that the server has to prefill until this prompt
    /// is done, plus the costs of a decode server's streams in flight, of recomputing shared tokens and of crossing
    /// zones. The first home server of a prefix is assumed to have it cached.
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
        let is_in_same_zone = endpoint.server.zone == self.zone;
        let zone_crossing = if is_in_same_zone {
            0.0
        } else {
            self.weights.cross_zone_cost_streams * PREFILL_TOKENS_PER_STREAM
        };
        self.pending_of_other_proxies(now, endpoint, kind)
            + endpoint.pending_prefill_tokens
            + stream_weight * endpoint.in_flight.estimate()
            + prompt.unshared_tokens()
            + recomputation
            + zone_crossing
    }

    /// Prompt tokens that other proxies have pending on the server: according to its last load report if that is
    /// recent, or else estimated by the average of what this proxy has pending.
    fn pending_of_other_proxies(&self, now: Instant, endpoint: &Endpoint, kind: LoadKind) -> f64 {
        let is_reported = endpoint.load_reported_at > Instant::ORIGIN
            && now < endpoint.load_reported_at + self.weights.load_report_lifetime;
        if kind == LoadKind::Prefill && is_reported {
            let prefills = (endpoint.prefill_load.estimate() - endpoint.own_prefills).max(0.0);
            return prefills * self.mean_prefill_tokens;
        }
        self.mean_pending_tokens.get(kind) * (self.proxy_count as f64 - 1.0)
    }

    /// True if the decode server should prefill the prompt itself, because the stream then starts earlier and the
    /// prefill does not delay the events of other streams for long.
    fn prefers_local_prefill(&self, now: Instant, service: &str, prompt: &Prompt) -> bool {
        let latency = self.start_latency(service);
        let max_local_millis =
            MAX_LOCAL_PREFILL_SHARE * prompt.max_event_gap.as_secs_f64() * MILLIS_PER_SECOND;
        latency.local_computation_millis(prompt.tokens) <= max_local_millis
            && latency.is_local_prefill_faster(now, prompt)
    }

    /// Selects a decode server out of `ids` by power of two choices, for a prompt that is prefilled on `prefill`. The
    /// cost is in streams in flight and includes zone crossings.
    fn select_decode(&mut self, ids: &[Rc<str>], prefill: Option<&Rc<str>>) -> Option<Rc<str>> {
        let prefill = prefill.and_then(|id| self.endpoints.get(id));
        let prefill_zone = prefill.map(|endpoint| endpoint.server.zone.clone()).unwrap_or_default();
        let drawn = self.draw_two_preferring_same_zone(ids);
        let cost =
            |router: &Self, id: &Rc<str>, _| router.streams_at(id) + router.zone_cost(id, &prefill_zone);
        self.select_cheaper(&drawn, cost)
    }

    /// The cost of sending the KV cache and the request to the server's zone, in streams in flight.
    fn zone_cost(&self, id: &str, prefill_zone: &str) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else { return 0.0 };
        let cost = |zone: &str| {
            if endpoint.server.zone == zone { 0.0 } else { self.weights.cross_zone_cost_streams }
        };
        cost(prefill_zone) + cost(&self.zone)
    }

    /// Records that the pair was selected, and that the prompt's last shared part will be cached on the server that
    /// prefills it.
    fn record_pair(&mut self, prompt: &Prompt, pair: &ServerPair) {
        let prefilling_id = pair.prefill.as_ref().unwrap_or(&pair.decode);
        if let (Some(part), Some(endpoint)) =
            (prompt.last_shared_part(), self.endpoints.get_mut(prefilling_id))
        {
            endpoint.record_cached_part(part.id);
        }
        pair.prefill.iter().chain([&pair.decode]).for_each(|id| self.record_selection(id));
    }

    /// Returns the decode server to use once the prompt has been prefilled: the one that was selected, or another one
    /// if that has meanwhile begun to drain or was suspected or ejected. A prefill can take seconds, and a draining
    /// server must stop getting new requests much sooner (RULES.md, DRAIN).
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

    /// The prefill servers that the prompt may be sent to and whose last load report is missing or too old.
    pub fn prefill_servers_to_query(&mut self, now: Instant, service: &str, prompt: &Prompt) -> Vec<Rc<str>> {
        let Some(key) = prompt.affinity_key() else { return Vec::new() };
        if self.prefers_local_prefill(now, service, prompt) {
            return Vec::new();
        }
        let selectable = self.selectable(now, service, LoadKind::Prefill, &[]);
        let ids: Vec<Rc<str>> = selectable.into_iter().map(|endpoint| endpoint.id.clone()).collect();
        let mut drawn = self.draw_two(&ids, Some(key));
        drawn.retain(|id| {
            let refresh = self.weights.load_report_refresh_interval;
            self.endpoints.get(id).is_some_and(|endpoint| now >= endpoint.load_reported_at + refresh)
        });
        drawn
    }
}
