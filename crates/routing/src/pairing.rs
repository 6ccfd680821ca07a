//! Which server prefills a prompt and which one decodes it.

use std::rc::Rc;

use mosshead_registry::OperState;
use mosshead_time::Instant;
use rand_core::RngCore;

use crate::endpoint::Endpoint;
use crate::load_kind::LoadKind;
use crate::prompt::{Prompt, ServerPair};
use crate::router::Router;

/// Prompt tokens that weigh as much as one stream in flight in the price of a prefill in another zone.
const PREFILL_TOKENS_PER_STREAM: f64 = 400.0;
/// The longest prefill of a decode server between the tokens of its streams, as a share of the longest gap between events
/// that its route wants: each token waits for a part of the prefill, and an event for those of all its tokens.
const MAX_LOCAL_PREFILL_SHARE: f64 = 0.125;
const MILLIS_PER_SECOND: f64 = 1_000.0;

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

    /// The server of this kind that prefills the prompt at the lowest cost, of its prefix's two homes or of any two.
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

    /// Whether the prompt's decode server is to prefill it: its stream then starts earlier, and the prefill does not delay the
    /// events of other streams for long.
    fn prefers_local_prefill(&self, now: Instant, service: &str, prompt: &Prompt) -> bool {
        let latency = self.start_latency(service);
        let longest = MAX_LOCAL_PREFILL_SHARE * prompt.max_event_gap.as_secs_f64() * MILLIS_PER_SECOND;
        latency.local_computation_millis(prompt.tokens) <= longest
            && latency.is_local_prefill_faster(now, prompt)
    }

    /// The decode server out of `ids` for a prompt that was prefilled at `prefill`, by power of two choices. The cost is in
    /// streams in flight and includes the zones that are crossed.
    fn select_decode(&mut self, ids: &[Rc<str>], prefill: Option<&Rc<str>>) -> Option<Rc<str>> {
        let prefill = prefill.and_then(|id| self.endpoints.get(id));
        let prefill_zone = prefill.map(|endpoint| endpoint.server.zone.clone()).unwrap_or_default();
        let drawn = self.draw_two_near(ids);
        let cost =
            |router: &Self, id: &Rc<str>, _| router.streams_at(id) + router.zone_cost(id, &prefill_zone);
        self.select_cheaper(&drawn, cost)
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
        if self.prefers_local_prefill(now, service, prompt) {
            return Vec::new();
        }
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
