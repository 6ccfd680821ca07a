//! Which server gets an attempt: the candidates, and the one with the lower load of a random pair of them.

use mosshead_load_board as load_board;

use super::balancer::Balancer;
use super::tuning::{CROWDED_QUEUE, STALE_REPORT};
use crate::interface::{DedupScope, EndpointId, Readiness, RepeatEffect, Seconds};
use crate::state::{EjectionCause, PendingRequest};

/// All proxies together send a server in slow start at most this fraction of the stated multiple of its share.
const SLOW_START_SHARE: f64 = 0.4;
/// The least number of servers of the own zone, and of the others, from which the pair is drawn.
const MIN_SUBSET: usize = 3;
/// The pair is drawn from this number of servers for each own request in a mean deadline, if that is more. The reports
/// of more servers would be too old without probes.
const SUBSET_SHARE: f64 = 0.25;
/// The pair is probed before a first attempt if two probes cost at most this fraction of a mean value.
const MAX_PROBE_COST: f64 = 0.05;
/// Reports are reliable if on arrival their weight is at least this fraction. The more loaded one of a crowded pair then
/// gives way to another server.
const RELIABLE_REPORT: f64 = 0.5;
/// How many servers may be probed for a request.
const MAX_PROBED: usize = 5;

/// The server for an attempt.
#[derive(Default)]
pub(super) struct Choice {
    /// `None` where no server may get it.
    pub(super) endpoint: Option<EndpointId>,
    /// The servers whose reports are too old and have to be probed first.
    pub(super) to_probe: Vec<usize>,
}

impl Balancer {
    /// Chooses the server for the next attempt of a request.
    pub(super) fn choose_endpoint(&mut self, now: Seconds, request: &PendingRequest) -> Choice {
        let candidates = self.candidates(now, request);
        self.choose_of_pair(now, request, &candidates)
    }

    /// The one with the lower load of two distinct candidates drawn at random: nothing else chooses a server.
    fn choose_of_pair(&mut self, now: Seconds, request: &PendingRequest, candidates: &[usize]) -> Choice {
        // The pair that was probed for this request stays its pair.
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

    /// The more of a report holds on arrival, the sooner a new one is worth its cost.
    fn is_stale(&self, now: Seconds, index: usize) -> bool {
        let least_freshness = STALE_REPORT.powf(1.0 - self.report_reliability());
        self.report_freshness(&self.state.endpoints[index], now) < least_freshness
    }

    /// Whether the better one of a pair is so crowded that the load of another server is worth a probe.
    fn may_probe_another(&self, now: Seconds, request: &PendingRequest, lower: usize) -> bool {
        self.report_reliability() >= RELIABLE_REPORT
            && request.probed.len() < MAX_PROBED
            && self.queue_per_slot(&self.state.endpoints[lower], now) > CROWDED_QUEUE
    }

    /// Draws a candidate that was not probed for the request yet.
    fn draw_unprobed(&mut self, request: &PendingRequest, candidates: &[usize]) -> Vec<usize> {
        let unprobed = || candidates.iter().copied().filter(|index| !request.probed.contains(index));
        let drawn = load_board::random_index(&mut self.rng, unprobed().count());
        unprobed().nth(drawn).into_iter().collect()
    }

    /// The servers that a pair is drawn from, those of the own zone first.
    fn candidates(&self, now: Seconds, request: &PendingRequest) -> Vec<usize> {
        let subset = self.subset_size(now, request);
        let mut usable = self.usable_candidates(now, request, subset);
        // A server that is given more than it answers in time is overloaded until it is left alone.
        usable.retain(|&index| !self.state.endpoints[index].is_full());
        let (mut local, mut remote): (Vec<usize>, Vec<usize>) =
            usable.into_iter().partition(|&index| self.is_local(index));
        local.truncate(subset);
        remote.truncate(subset);
        // Each candidate is in the pair for two of so many draws.
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

    /// How many servers of the own zone, and of the others, a proxy with its traffic has recent reports of.
    fn subset_size(&self, now: Seconds, request: &PendingRequest) -> usize {
        if request.may_have_run().is_some() || self.report_reliability() >= RELIABLE_REPORT {
            return self.state.endpoints.len();
        }
        let mean_deadline = self.state.mean_deadline;
        let requests = self.state.request_rate.read(now, mean_deadline) * mean_deadline;
        MIN_SUBSET.max((SUBSET_SHARE * requests) as usize)
    }

    /// The servers past their slow start that may get the request and look healthy.
    fn usable_candidates(&self, now: Seconds, request: &PendingRequest, subset: usize) -> Vec<usize> {
        let allowed = self.allowed_candidates(now, request, subset);
        let filter = |from: &[usize], keep: &dyn Fn(usize) -> bool| -> Vec<usize> {
            from.iter().copied().filter(|&index| keep(index)).collect()
        };
        let untried = filter(&allowed, &|index| !has_tried(request, index));
        let may_try_again = untried.is_empty() && request.in_flight().next().is_none();
        let allowed = if may_try_again { allowed } else { untried };
        let healthy = filter(&allowed, &|index| self.is_healthy(now, request, index));
        // Where most servers look unhealthy the evidence contradicts itself, and ejections would overload the rest.
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

    /// The servers past their slow start that may get the request; reserved ones only if it does not avoid them, or if
    /// there are no others.
    fn allowed_candidates(&self, now: Seconds, request: &PendingRequest, subset: usize) -> Vec<usize> {
        let of_zone = |zone: &[usize], avoids_reserved: bool| -> Vec<usize> {
            let allowed = zone.iter().copied().filter(|&index| self.is_allowed(now, request, index));
            let is_free =
                |&index: &usize| !avoids_reserved || !self.is_reserved(&self.state.endpoints[index].entry);
            allowed.filter(is_free).take(2 * subset).collect()
        };
        let of_both = |avoids_reserved: bool| {
            let mut servers = of_zone(&self.state.local, avoids_reserved);
            servers.append(&mut of_zone(&self.state.remote, avoids_reserved));
            servers
        };
        let preferred = of_both(request.avoids_reserved && request.attempts.is_empty());
        if preferred.is_empty() { of_both(false) } else { preferred }
    }

    fn is_local(&self, index: usize) -> bool {
        self.state.endpoints[index].entry.zone == self.settings.zone
    }

    /// Whether the rules allow the request there at all.
    pub(super) fn is_allowed(&self, now: Seconds, request: &PendingRequest, index: usize) -> bool {
        let endpoint = &self.state.endpoints[index];
        // A drain or removal counts from the moment at which the list has it.
        if endpoint.entry.readiness != Readiness::Ready {
            return false;
        }
        // Work that is restricted to some servers must not run elsewhere, however unhealthy or full those are.
        if !self.settings.classes[request.class.0].permits(&endpoint.entry) {
            return false;
        }
        let Some(ran) = request.may_have_run() else { return true };
        // What may have run is sent again only where a repeat has no second effect.
        match self.settings.classes[request.class.0].repeat_effect {
            RepeatEffect::Safe => true,
            RepeatEffect::Unsafe => false,
            RepeatEffect::Keyed { scope, window } => {
                let first = &self.state.endpoint(ran.endpoint).entry;
                let is_remembered = now + self.settings.timer_resolution < ran.sent_at + window;
                is_remembered
                    && match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => first.zone == endpoint.entry.zone,
                        DedupScope::Group => first.group == endpoint.entry.group,
                    }
            }
        }
    }

    /// Whether a server in slow start is a candidate for a request that would be in one of `draws` pairs with it.
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
            && self.has_slow_start_share(now, request, index, draws)
    }

    /// Whether the request is among those that the server may get in its slow start.
    ///
    /// Proxies together would overload a server in slow start, also with what each of them has saved up for it. So each
    /// request draws once, however often it looks for a server, and all draws together keep within the budget.
    fn has_slow_start_share(&self, now: Seconds, request: &PendingRequest, index: usize, draws: f64) -> bool {
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
