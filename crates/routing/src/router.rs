//! The routing state of one proxy, updated from the registry and from the results of the proxy's attempts. Servers are
//! selected in `p2c` and `pairing`.

use std::collections::HashMap;
use std::rc::Rc;

use mosshead_registry::{OperState, Server};
use mosshead_time::{Duration, Instant};
use rand_core::RngCore;

use crate::endpoint::Endpoint;
use crate::endpoint_table::EndpointTable;
use crate::load_kind::{LoadKind, PerLoadKind};
use crate::low_discrepancy::LowDiscrepancySequences;
use crate::outlier::ServerFailure;
use crate::prompt::Prompt;
use crate::retry_budget::RetryBudget;
use crate::retry_share::RetryShare;
use crate::start_latency::{LearnedLatencies, StartLatency};
use crate::weights::RoutingWeights;

/// The mean tokens per prefill that are assumed before the first one.
const INITIAL_MEAN_PREFILL_TOKENS: f64 = 3000.0;
/// The weight of the newest prefill in the moving average of prefill tokens.
const MEAN_PREFILL_GAIN: f64 = 0.02;
/// The weight of the newest observation in the moving average of pending tokens.
const MEAN_PENDING_GAIN: f64 = 0.05;
/// How long a prefill server gets no handovers after one of its handles could not be fetched.
const HANDOVER_SUSPENSION: Duration = Duration::from_millis(1500);
/// The earliest recorded time of a load report, because [`Instant::ORIGIN`] means that there was none.
const EARLIEST_LOAD_REPORT: Instant = Instant::from_millis(1);

/// The routing state of one proxy.
#[derive(Debug)]
pub struct Router<R> {
    pub(crate) weights: RoutingWeights,
    pub(crate) endpoints: EndpointTable,
    budgets: HashMap<String, RetryBudget>,
    retry_share: RetryShare,
    low_discrepancy_sequences: LowDiscrepancySequences,
    /// Latency estimates until the start of a stream, by service.
    start_latencies: HashMap<String, StartLatency>,
    pub(crate) zone: String,
    pub(crate) proxy_count: usize,
    /// Moving average of the prompt tokens that this proxy has pending per server. It also serves as the estimate for
    /// each of the other proxies.
    pub(crate) mean_pending_tokens: PerLoadKind<f64>,
    /// Moving average of the tokens per prefilled prompt.
    pub(crate) mean_prefill_tokens: f64,
    pub(crate) rng: R,
}

impl<R: RngCore> Router<R> {
    /// Creates the router of a proxy in `zone`, without any servers.
    pub fn new(weights: RoutingWeights, zone: &str, rng: R) -> Self {
        Self {
            weights,
            endpoints: EndpointTable::default(),
            budgets: HashMap::new(),
            retry_share: RetryShare::new(weights.retry_budget.window),
            low_discrepancy_sequences: LowDiscrepancySequences::default(),
            start_latencies: HashMap::new(),
            zone: zone.to_owned(),
            proxy_count: 1,
            mean_pending_tokens: PerLoadKind::default(),
            mean_prefill_tokens: INITIAL_MEAN_PREFILL_TOKENS,
            rng,
        }
    }

    /// Replaces the registry's entries. Servers that stay listed keep their recorded state.
    pub fn update_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        self.endpoints.update(servers);
    }

    /// Sets the number of proxies; at least one. They share the retry budgets, and the load of the other proxies is
    /// estimated by their number.
    pub fn set_proxy_count(&mut self, now: Instant, count: usize) {
        self.proxy_count = count.max(1);
        self.retry_share.set_proxy_count(now, self.proxy_count);
    }

    /// Leaves this proxy without extra retries for one window of the retry budget, in which those that its former
    /// process has spent still count.
    pub fn withhold_extra_retries(&mut self, now: Instant) {
        self.retry_share.withhold(now);
    }

    /// The servers known to this proxy.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Counts a client's request for a service. `priority` is that of its route; 0 is the most urgent.
    pub fn record_request(&mut self, now: Instant, service: &str, priority: u8) {
        self.retry_budget(service).record_request(now, priority);
    }

    fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let limits = self.weights.retry_budget;
        self.budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(limits))
    }

    /// Takes one retry out of the service's budget. Returns false if none is left for a request of this priority.
    pub fn try_withdraw_retry(&mut self, now: Instant, service: &str, priority: u8) -> bool {
        let extra_share = self.retry_share.fraction(now);
        self.retry_budget(service).try_withdraw(now, extra_share, priority)
    }

    /// True if the service has a server outside `avoid`, other than a prefill server, that is up, is neither suspected
    /// nor ejected, and has no trial request in flight.
    pub fn has_ready_server(&self, now: Instant, service: &str, avoid: &[Rc<str>]) -> bool {
        let ids = self.endpoints.ids(service, LoadKind::Decode).iter().filter(|id| !avoid.contains(id));
        ids.filter_map(|id| self.endpoints.get(id)).any(|endpoint| endpoint.is_ready(now))
    }

    /// True if the service's budget has a retry left for a request of this priority.
    pub fn has_retry(&mut self, now: Instant, service: &str, priority: u8) -> bool {
        let extra_share = self.retry_share.fraction(now);
        self.retry_budget(service).has_retry(now, extra_share, priority)
    }

    /// The next number from 0 to below 1 for splitting the requests of a route by weight. Unlike random numbers, those
    /// of one route form a low-discrepancy sequence.
    pub fn low_discrepancy_fraction(&mut self, route: &str) -> f64 {
        let Self { low_discrepancy_sequences, rng, .. } = self;
        low_discrepancy_sequences.next(route, || uniform_fraction(rng))
    }

    /// A random number from 0 to below 1.
    pub fn random_fraction(&mut self) -> f64 {
        uniform_fraction(&mut self.rng)
    }

    /// The service's servers in state `up` and outside `avoid` that may be selected: those that are neither ejected nor
    /// suspected by the registry; if there are none, those that are not suspected; if there are none either, all.
    pub(crate) fn selectable(
        &self,
        now: Instant,
        service: &str,
        kind: LoadKind,
        avoid: &[Rc<str>],
    ) -> Vec<&Endpoint> {
        let up = || {
            let ids = self.endpoints.ids(service, kind).iter().filter(|id| !avoid.contains(id));
            ids.filter_map(|id| self.endpoints.get(id))
                .filter(|endpoint| endpoint.server.state == OperState::Up)
        };
        let healthy: Vec<_> = up().filter(|endpoint| endpoint.is_ready(now)).collect();
        if !healthy.is_empty() {
            return healthy;
        }
        let unsuspected: Vec<_> = up().filter(|endpoint| !endpoint.server.is_suspected).collect();
        if unsuspected.is_empty() { up().collect() } else { unsuspected }
    }

    /// Records that a server was selected. After an ejection, this request is its trial.
    pub(crate) fn record_selection(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outlier.record_selection();
        }
    }

    /// Updates the moving average of the prompt tokens that this proxy has pending per server of the service.
    pub(crate) fn update_mean_pending(&mut self, service: &str, kind: LoadKind) {
        let ids = self.endpoints.ids(service, kind);
        let endpoints = ids.iter().filter_map(|id| self.endpoints.get(id));
        let sum: f64 = endpoints.map(|endpoint| endpoint.pending_prefill_tokens).sum();
        let observed = sum / ids.len().max(1) as f64;
        let mean = self.mean_pending_tokens.get_mut(kind);
        *mean += MEAN_PENDING_GAIN * (observed - *mean);
    }

    /// Records a server's report of how many requests it has, queued or running.
    pub fn record_load(&mut self, now: Instant, id: &str, load: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.prefill_load.record_report(load);
            endpoint.load_reported_at = now.max(EARLIEST_LOAD_REPORT);
        }
    }

    /// Records that a prompt of this many tokens was sent to the server for prefill.
    pub fn start_prefill(&mut self, id: &str, tokens: f64) {
        self.mean_prefill_tokens += MEAN_PREFILL_GAIN * (tokens - self.mean_prefill_tokens);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.pending_prefill_tokens += tokens;
            endpoint.own_prefills += 1.0;
            endpoint.prefill_load.record_send();
        }
    }

    /// Records that a prompt counted by [`Router::start_prefill`] was prefilled, or that its prefill was given up.
    pub fn finish_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.pending_prefill_tokens = (endpoint.pending_prefill_tokens - tokens).max(0.0);
            endpoint.own_prefills = (endpoint.own_prefills - 1.0).max(0.0);
            endpoint.prefill_load.record_end();
        }
    }

    fn start_latency_mut(&mut self, service: &str) -> &mut StartLatency {
        self.start_latencies.entry(service.to_owned()).or_default()
    }

    /// The latency estimates of a service; the initial ones if nothing was observed yet.
    pub(crate) fn start_latency(&self, service: &str) -> StartLatency {
        self.start_latencies.get(service).cloned().unwrap_or_default()
    }

    /// The latency estimates of each service with prompts.
    pub fn learned_latencies(&self, now: Instant) -> impl Iterator<Item = (&str, LearnedLatencies)> {
        self.start_latencies.iter().map(move |(service, latency)| (service.as_str(), latency.learned(now)))
    }

    /// Records the time until a prefill server of the service returned the handle of the prompt.
    pub fn record_prefill_latency(&mut self, service: &str, prompt: &Prompt, latency: Duration) {
        self.start_latency_mut(service).observe_prefill(prompt.unshared_tokens(), latency);
    }

    /// Records the time until the first event of a request whose prompt a prefill server has prefilled.
    pub fn record_handover_latency(
        &mut self,
        now: Instant,
        service: &str,
        prompt: &Prompt,
        latency: Duration,
    ) {
        self.start_latency_mut(service).observe_handover(now, prompt, latency);
    }

    /// Records the time until the first event of a request whose decode server has prefilled the prompt.
    pub fn record_local_prefill_latency(
        &mut self,
        now: Instant,
        service: &str,
        prompt: &Prompt,
        latency: Duration,
    ) {
        self.start_latency_mut(service).observe_local_prefill(now, prompt, latency);
    }

    /// Records that a request was sent to the server to run.
    pub fn start_request(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight.record_send();
        }
    }

    /// Records the end of a request counted by [`Router::start_request`].
    pub fn finish_request(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight.record_end();
        }
    }

    /// Records that some part of a response has arrived from the server.
    pub fn record_received(&mut self, now: Instant, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.last_received_at = now;
        }
    }

    /// True if nothing has arrived from the server since that instant. An unknown server counts as silent.
    pub fn is_silent_since(&self, since: Instant, id: &str) -> bool {
        self.endpoints.get(id).is_none_or(|endpoint| endpoint.last_received_at < since)
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outlier.record_success();
        }
    }

    /// Records a failed attempt that counts against the server.
    pub fn record_failure(&mut self, now: Instant, id: &str, failure: ServerFailure) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outlier.record_failure(now, failure);
        }
    }

    /// Records that an attempt said nothing about the server, or was never made.
    pub fn record_inconclusive(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.outlier.record_inconclusive();
        }
    }

    /// Suspends handovers from a prefill server for a while, because one of its handles could not be fetched.
    pub fn suspend_handovers(&mut self, now: Instant, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.handovers_suspended_until = now + HANDOVER_SUSPENSION;
        }
    }
}

/// A random number from 0 to below 1.
fn uniform_fraction(rng: &mut impl RngCore) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
