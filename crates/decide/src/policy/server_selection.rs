//! Selects the server for an attempt: the less loaded of a random pair of candidates.

use mosshead_load_board as load_board;

use super::balancer::Balancer;
use super::tuning::{CROWDED_QUEUE_PER_SLOT, STALE_REPORT_WEIGHT};
use crate::interface::{DedupScope, EndpointId, Readiness, RepeatEffect, Seconds};
use crate::state::{EjectionCause, PendingRequest};

/// All proxies together send a server in slow start at most this fraction of what would overload it, that is, of
/// `overload_factor` times its share of the traffic.
const SLOW_START_SHARE: f64 = 0.4;
/// The minimum size of the subset of local servers, and of remote ones, from which the pair is drawn.
const MIN_SUBSET: usize = 3;
/// The size of these subsets per request that this proxy receives in a mean deadline, if that is more. With larger
/// subsets the reports would be too old without probes.
const SUBSET_SERVERS_PER_REQUEST: f64 = 0.25;
/// The pair may be probed before a first attempt if two probes cost at most this fraction of a mean request's value.
const MAX_PROBE_COST: f64 = 0.05;
/// Reports are reliable if their weight on arrival is at least this fraction. In that case the more loaded server of a
/// crowded pair is replaced by another one.
const MIN_RELIABLE_REPORT_WEIGHT: f64 = 0.5;
/// The maximum number of servers that are probed for one request.
const MAX_PROBES_PER_REQUEST: usize = 5;

/// The selected server for an attempt.
#[derive(Default)]
pub(super) struct Choice {
    /// `None` if no server may get the attempt.
    pub(super) endpoint: Option<EndpointId>,
    /// Servers that have to be probed before the attempt is sent.
    pub(super) to_probe: Vec<usize>,
}

impl Balancer {
    /// Selects the server for the next attempt of a request.
    pub(super) fn choose_endpoint(&mut self, now: Seconds, request: &PendingRequest) -> Choice {
        let candidates = self.candidates(now, request);
        self.choose_from_pair(now, request, &candidates)
    }

    /// Selects the less loaded of two distinct random candidates. Every selection of a server goes through here.
    fn choose_from_pair(&mut self, now: Seconds, request: &PendingRequest, candidates: &[usize]) -> Choice {
        // A pair that was probed for this request is used again.
        let probed: Vec<usize> =
            candidates.iter().copied().filter(|index| request.probed_pair.contains(index)).collect();
        let from = if probed.is_empty() || !request.attempts.is_empty() { candidates } else { &probed };
        let Some((first, second)) = load_board::two_distinct(&mut self.rng, from.len()) else {
            let endpoint = from.first().map(|&index| EndpointId(index as u32));
            return Choice { endpoint, to_probe: Vec::new() };
        };
        let pair = [from[first], from[second]];
        let [first, second] = pair.map(|index| {
            load_board::Candidate::new(index, self.load_score(&self.state.endpoints[index], now))
        });
        let lower = load_board::lower_of_drawn(first, second);
        let to_probe = match probed.len() {
            0 if self.may_probe(now, request) && pair.iter().any(|&index| self.is_stale(now, index)) => {
                pair.to_vec()
            }
            2 if self.may_probe(now, request) && self.may_probe_another(now, request, lower) => {
                self.draw_unprobed(request, candidates)
            }
            _ => Vec::new(),
        };
        Choice { endpoint: Some(EndpointId(lower as u32)), to_probe }
    }

    fn may_probe(&self, now: Seconds, request: &PendingRequest) -> bool {
        let is_cheap = self.settings.limits.can_probe && 2.0 * self.settings.probe_cost <= MAX_PROBE_COST;
        let is_in_time = now < request.probes_until && now >= self.state.probes_paused_until;
        is_cheap && request.attempts.is_empty() && is_in_time
    }

    /// Returns true if the server's report is too old to use. The more reliable reports are on arrival, the sooner a
    /// new one is worth its cost.
    fn is_stale(&self, now: Seconds, index: usize) -> bool {
        let least_freshness = STALE_REPORT_WEIGHT.powf(1.0 - self.report_reliability());
        self.report_freshness(&self.state.endpoints[index], now) < least_freshness
    }

    /// Returns true if even the less loaded server of a pair is so crowded that it is worth probing another one.
    fn may_probe_another(&self, now: Seconds, request: &PendingRequest, lower: usize) -> bool {
        self.report_reliability() >= MIN_RELIABLE_REPORT_WEIGHT
            && request.probed.len() < MAX_PROBES_PER_REQUEST
            && self.queue_per_slot(&self.state.endpoints[lower], now) > CROWDED_QUEUE_PER_SLOT
    }

    /// Draws a random candidate that has not been probed for the request.
    fn draw_unprobed(&mut self, request: &PendingRequest, candidates: &[usize]) -> Vec<usize> {
        let unprobed = || candidates.iter().copied().filter(|index| !request.probed.contains(index));
        let drawn = load_board::random_index(&mut self.rng, unprobed().count());
        unprobed().nth(drawn).into_iter().collect()
    }

    /// The servers from which a pair is drawn, local ones first.
    fn candidates(&self, now: Seconds, request: &PendingRequest) -> Vec<usize> {
        let subset = self.subset_size(now, request);
        let mut usable = self.usable_candidates(now, request, subset);
        // A server that gets more than it can answer in time stays overloaded until it gets less.
        usable.retain(|&index| !self.state.endpoints[index].is_full());
        let (mut local, mut remote): (Vec<usize>, Vec<usize>) =
            usable.into_iter().partition(|&index| self.is_local(index));
        local.truncate(subset);
        remote.truncate(subset);
        // Each candidate is part of the pair in one of this many draws.
        let draws = ((local.len() + remote.len()) as f64 + 1.0) / 2.0;
        for (zone, is_local) in [(&mut local, true), (&mut remote, false)] {
            let slow_starting = self.state.slow_starting.iter().copied();
            zone.extend(slow_starting.filter(|&index| {
                self.is_local(index) == is_local && self.is_slow_start_candidate(now, request, index, draws)
            }));
        }
        local.append(&mut remote);
        local
    }

    /// The size of the subset of local servers, and of remote ones, from which candidates are drawn: a proxy with
    /// little traffic has recent reports of few servers only.
    fn subset_size(&self, now: Seconds, request: &PendingRequest) -> usize {
        if request.first_possible_execution().is_some()
            || self.report_reliability() >= MIN_RELIABLE_REPORT_WEIGHT
        {
            return self.state.endpoints.len();
        }
        let mean_deadline = self.state.mean_deadline;
        let requests = self.state.request_rate.read(now, mean_deadline) * mean_deadline;
        MIN_SUBSET.max((SUBSET_SERVERS_PER_REQUEST * requests) as usize)
    }

    /// The servers past their slow start that may get the request and are healthy, where possible.
    fn usable_candidates(&self, now: Seconds, request: &PendingRequest, subset: usize) -> Vec<usize> {
        let allowed = self.allowed_candidates(now, request, subset);
        let filter = |from: &[usize], keep: &dyn Fn(usize) -> bool| -> Vec<usize> {
            from.iter().copied().filter(|&index| keep(index)).collect()
        };
        let untried = filter(&allowed, &|index| !has_tried(request, index));
        let may_try_again = untried.is_empty() && request.in_flight().next().is_none();
        let allowed = if may_try_again { allowed } else { untried };
        let healthy = filter(&allowed, &|index| self.is_healthy(now, request, index));
        // If most servers look unhealthy, the evidence contradicts itself, and ejections would overload the rest.
        if healthy.len() * 2 >= allowed.len() && !healthy.is_empty() {
            return healthy;
        }
        let is_reachable = |index: usize| {
            let ejection = self.state.endpoints[index].ejection;
            ejection.is_none_or(|ejection| ejection.cause == EjectionCause::Errors)
        };
        let reachable = filter(&allowed, &is_reachable);
        if reachable.len() * 2 < allowed.len() { allowed } else { reachable }
    }

    /// The servers past their slow start that may get the request. Reserved ones are left out if the request avoids
    /// them, unless there are no others.
    fn allowed_candidates(&self, now: Seconds, request: &PendingRequest, subset: usize) -> Vec<usize> {
        let allowed_in = |zone: &[usize], avoids_reserved: bool| -> Vec<usize> {
            let allowed = zone.iter().copied().filter(|&index| self.is_allowed(now, request, index));
            let is_not_avoided =
                |&index: &usize| !avoids_reserved || !self.is_reserved(&self.state.endpoints[index].entry);
            allowed.filter(is_not_avoided).take(2 * subset).collect()
        };
        let allowed_in_both = |avoids_reserved: bool| {
            let mut servers = allowed_in(&self.state.local, avoids_reserved);
            servers.append(&mut allowed_in(&self.state.remote, avoids_reserved));
            servers
        };
        let preferred = allowed_in_both(request.avoids_reserved && request.attempts.is_empty());
        if preferred.is_empty() { allowed_in_both(false) } else { preferred }
    }

    fn is_local(&self, index: usize) -> bool {
        self.state.endpoints[index].entry.zone == self.settings.zone
    }

    /// Returns true if the server may run the request at all.
    pub(super) fn is_allowed(&self, now: Seconds, request: &PendingRequest, index: usize) -> bool {
        let endpoint = &self.state.endpoints[index];
        // A drain or removal takes effect as soon as the list shows it.
        if endpoint.entry.readiness != Readiness::Ready {
            return false;
        }
        // A restricted class must not run on other servers, even if all of its own are unhealthy or full.
        if !self.settings.classes[request.class.0].permits(&endpoint.entry) {
            return false;
        }
        let Some(earlier) = request.first_possible_execution() else { return true };
        // A request that may have run is sent again only where a repeat has no second effect.
        match self.settings.classes[request.class.0].repeat_effect {
            RepeatEffect::Safe => true,
            RepeatEffect::Unsafe => false,
            RepeatEffect::Keyed { scope, window } => {
                let first = &self.state.endpoint(earlier.endpoint).entry;
                let is_remembered = now + self.settings.timer_resolution < earlier.sent_at + window;
                is_remembered
                    && match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == endpoint.entry.zone,
                        DedupScope::Group => first.group == endpoint.entry.group,
                    }
            }
        }
    }

    /// Returns true if a server in slow start is a candidate for the request. As a candidate it is part of the pair in
    /// one of `draws` draws.
    fn is_slow_start_candidate(
        &self,
        now: Seconds,
        request: &PendingRequest,
        index: usize,
        draws: f64,
    ) -> bool {
        self.is_allowed(now, request, index)
            && self.is_healthy(now, request, index)
            && !has_tried(request, index)
            && !self.state.endpoints[index].is_full()
            && self.is_within_slow_start_share(now, request, index, draws)
    }

    /// Returns true if the request is within the share that the server may get during its slow start.
    ///
    /// All proxies together must not overload a server in slow start, so the share is granted at random and no proxy
    /// can save up an unused budget. Each request uses a single random number, however often it looks for a server.
    fn is_within_slow_start_share(
        &self,
        now: Seconds,
        request: &PendingRequest,
        index: usize,
        draws: f64,
    ) -> bool {
        let endpoint = &self.state.endpoints[index];
        let budget = SLOW_START_SHARE * self.settings.rules.overload_factor;
        let share = budget * self.capacity(endpoint, now) / self.state.fleet_capacity;
        let offset = f64::from(endpoint.preference) / f64::from(u32::MAX);
        (request.slow_start_draw + offset).fract() < share * draws.max(1.0)
    }
}

fn has_tried(request: &PendingRequest, index: usize) -> bool {
    request.attempts.iter().any(|attempt| attempt.endpoint.0 as usize == index)
}
