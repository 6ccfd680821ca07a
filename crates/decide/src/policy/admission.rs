//! Admission control: compares the value that a request is expected to earn with the price of work.

use super::balancer::Balancer;
use super::tuning::{MAX_RETRY_BUDGET, MEAN_GAIN, MIN_PRICE, OVERLOAD_DECAY_DEADLINES};
use crate::interface::{Action, ClassId, EndpointId, Request, Seconds, TenantId};
use crate::state::{Endpoint, PendingRequest};

/// Retries and hedges together stay below this fraction of the requests, to prevent a retry storm.
const RETRY_BUDGET_SHARE: f64 = 0.2;
/// The maximum time that a first attempt waits for probes, as a fraction of the latency target.
const PROBE_WAIT: f64 = 1.0 / 16.0;
/// A zone is silent if none of its servers has responded or reported for this many mean deadlines.
const ZONE_SILENCE_DEADLINES: f64 = 2.0;
/// The fraction of the requests rejected for a silent zone that are sent there nevertheless, as trials.
const SILENT_ZONE_TRIAL_SHARE: f64 = 0.125;
/// How much a rejection lowers the price while the queueing time is under half of its limit, in units of a missed
/// response.
const SHORT_QUEUE_PRICE_RELIEF: f64 = 0.2;
/// A rejection adjusts the price only if at least this fraction of the request's latency target is left.
const MIN_TARGET_TIME_LEFT: f64 = 0.9;
/// Queueing may take this fraction of the time that is left until the latency target. Longer queues would keep crowded
/// servers slow.
const MAX_WAIT_SHARE: f64 = 0.5;
/// How sharply the price rises as the expected queueing time approaches [`MAX_WAIT_SHARE`].
const QUEUEING_EXPONENT: i32 = 6;
/// The learned price is multiplied by the queue per slot, up to this length.
const MAX_PRICED_QUEUE: f64 = 4.0;
/// The maximum of `usual_votes`: after this many requests in a row that differ from the usual time left, the next one
/// that differs replaces it.
const MAX_USUAL_VOTES: f64 = 64.0;
/// The tolerance when a retry is matched to its client's first attempt, in units of the timer resolution.
const FIRST_ATTEMPT_TOLERANCE_TICKS: f64 = 3.0;
/// The overload above which it adds to the price of work.
const OVERLOAD_PRICE_THRESHOLD: f64 = 0.23;
/// The price per unit of overload beyond [`OVERLOAD_PRICE_THRESHOLD`], scaled down where reports are reliable.
const OVERLOAD_PRICE_SLOPE: f64 = 20.0;
/// The overload is multiplied by the ratio of the mean capacity over the responses that it was learned from to the
/// present capacity, at most by this.
const MAX_CAPACITY_LOSS: f64 = 3.0;

/// The chance of a request to be admitted at a server, and the price of work there.
struct AdmissionEstimate {
    /// The probability that the request is admitted.
    acceptance_probability: f64,
    /// The part of the price that comes from the expected queueing time.
    queueing_price: f64,
    price: f64,
}

impl Balancer {
    /// Registers a new request and decides on its first attempt.
    pub(super) fn on_request(&mut self, now: Seconds, request: Request, actions: &mut Vec<Action>) {
        let elapsed = self.time_since_first_attempt(now, &request);
        let class = &self.settings.classes[request.class.0];
        let target_time = now + (class.latency_target - elapsed).min(request.time_left);
        let max_attempts = self.settings.limits.max_attempts;
        let mut pending = PendingRequest::new(now, &request, elapsed, target_time, max_attempts);
        self.state.mean_value.add(class.value, MEAN_GAIN);
        self.state.mean_service_time.add(self.state.classes[request.class.0].service_time.value, MEAN_GAIN);
        self.state.request_rate.add(now, self.state.mean_deadline);
        pending.share_factor = self.share_factor(now, request.tenant);
        pending.slow_start_draw = self.random_unit();
        pending.avoids_reserved = self.draw_avoids_reserved(request.class);
        if now >= self.state.next_review_at {
            self.review_fleet(now);
        }
        pending.probes_until = self.probes_until(now, &pending);
        self.state.retry_budget = (self.state.retry_budget + RETRY_BUDGET_SHARE).min(MAX_RETRY_BUDGET);
        let token = self.state.next_token;
        self.state.next_token += 1;
        self.state.tokens.insert(pending.id, token);
        self.state.requests.insert(token, pending);
        self.decide_first_attempt(now, token, actions);
    }

    /// Estimates how long ago the client of a new request made its first attempt; 0 if this is the first one.
    ///
    /// Most first attempts of a class have the same time left. A client's retry has only the rest of its deadline left,
    /// which shows when its first attempt was made. A client that merely has a shorter timeout must not be rejected as
    /// a late retry, so a request counts as a retry only if a request first attempted at that time ended unserved here.
    fn time_since_first_attempt(&mut self, now: Seconds, request: &Request) -> Seconds {
        let class = &self.settings.classes[request.class.0];
        let stats = &mut self.state.classes[request.class.0];
        let difference = (request.time_left - stats.usual_time_left).abs();
        let mut is_usual = difference < self.settings.timer_resolution;
        stats.usual_votes = (stats.usual_votes + if is_usual { 2.0 } else { -1.0 }).min(MAX_USUAL_VOTES);
        if stats.usual_votes < 0.0 {
            stats.usual_time_left = request.time_left;
            stats.usual_votes = 1.0;
            is_usual = true;
        }
        let elapsed = (class.deadline - request.time_left).max(0.0);
        let tolerance = FIRST_ATTEMPT_TOLERANCE_TICKS * self.settings.timer_resolution;
        let is_retry = !is_usual && stats.has_unserved(now - elapsed, tolerance);
        if is_retry { elapsed } else { 0.0 }
    }

    /// Decides at random whether a request avoids reserved servers.
    ///
    /// Unrestricted requests would displace those that are restricted to a few servers. So the reserved servers get
    /// only as many unrestricted requests as an even load of the fleet leaves room for.
    fn draw_avoids_reserved(&mut self, class: ClassId) -> bool {
        let is_restricted = self.settings.classes[class.0].is_restricted();
        let restricted_work = if is_restricted { self.relative_work(class) } else { 0.0 };
        self.state.restricted_work.add(restricted_work, MEAN_GAIN);
        let restricted_work = self.state.restricted_work.value;
        let reserved_use_probability = (1.0 - restricted_work / self.state.reserved_share)
            / (1.0 - restricted_work).max(f64::MIN_POSITIVE);
        !is_restricted && self.state.reserved_share > 0.0 && self.random_unit() >= reserved_use_probability
    }

    /// The time until which a request may wait for probes. A request with hardly any time left does not wait.
    fn probes_until(&self, now: Seconds, request: &PendingRequest) -> Seconds {
        let latest = self.useful_until(request) - 2.0 * self.settings.timer_resolution;
        let class = &self.settings.classes[request.class.0];
        (now + PROBE_WAIT * class.latency_target).min(latest)
    }

    /// The factor by which the value of the tenant's requests is reduced while the tenant exceeds its share.
    fn share_factor(&mut self, now: Seconds, tenant: Option<TenantId>) -> f64 {
        let Some(TenantId(tenant)) = tenant else { return 1.0 };
        self.state.tenant_rates[tenant].add(now, self.state.mean_deadline);
        let own_rate = self.state.tenant_rates[tenant].read(now, self.state.mean_deadline);
        let other_rate = self.state.request_rate.read(now, self.state.mean_deadline) - own_rate;
        let share = self.settings.tenants[tenant].share;
        let fair_rate = share / (1.0 - share).max(f64::MIN_POSITIVE) * other_rate;
        let within_share = (fair_rate / own_rate).clamp(0.0, 1.0);
        within_share + (1.0 - within_share) * self.settings.over_share_value
    }

    /// Decides at random, by the estimated probability, whether a request is sent to its server or rejected early.
    pub(super) fn admits(
        &mut self,
        now: Seconds,
        request: &PendingRequest,
        chosen: Option<EndpointId>,
    ) -> bool {
        let Some(id) = chosen else { return true };
        let endpoint = self.state.endpoint(id);
        let estimate = self.estimate_admission(now, request, endpoint);
        // A proxy that sends nothing to a zone would never learn that its queues have cleared.
        let last_contact_at = self.state.zones[self.zone_stats_index(&endpoint.entry)].last_contact_at;
        let is_silent = now - last_contact_at > ZONE_SILENCE_DEADLINES * self.state.mean_deadline;
        let is_admitted = self.random_unit() < estimate.acceptance_probability
            || (is_silent && self.random_unit() < SILENT_ZONE_TRIAL_SHARE);
        if !is_admitted {
            self.adjust_price_after_rejection(now, request, &estimate);
        }
        is_admitted
    }

    /// Adjusts the price after a rejection.
    ///
    /// The limit on queueing rejects requests almost regardless of their value, and prevents the late responses that
    /// would raise the price. So rejections adjust the price as well, except those of late retries, which have too
    /// little time left at any server.
    fn adjust_price_after_rejection(
        &mut self,
        now: Seconds,
        request: &PendingRequest,
        estimate: &AdmissionEstimate,
    ) {
        let class = &self.settings.classes[request.class.0];
        if request.target_time - now < MIN_TARGET_TIME_LEFT * class.latency_target {
            return;
        }
        // If few requests are admitted, their responses lower the price too slowly while queues are short.
        let is_short_queue = estimate.queueing_price < 0.5_f64.powi(QUEUEING_EXPONENT);
        let missed = if is_short_queue {
            -SHORT_QUEUE_PRICE_RELIEF
        } else {
            (1.0 - class.late_value) * estimate.queueing_price / estimate.price
        };
        self.adjust_price(request.class, missed);
    }

    /// Estimates the chance of a request at a server: under overload, requests of low value are rejected first.
    fn estimate_admission(
        &self,
        now: Seconds,
        request: &PendingRequest,
        endpoint: &Endpoint,
    ) -> AdmissionEstimate {
        let class = request.class;
        let earned = self.expected_value(request, self.expected_time(endpoint, class, now), now);
        let value = self.settings.classes[class.0].value * request.share_factor * earned;
        let value_of_work = value / self.state.mean_value.value / self.relative_work(class);
        // The learned price counts only with a queue: responses also miss their target at unhealthy servers, and work
        // on an idle server displaces nothing.
        let queue_per_slot = self.queue_per_slot(endpoint, now);
        let log_price = self.state.log_prices[self.state.price_group_of_class[class.0]];
        let learned_price = if log_price > MIN_PRICE.ln() { log_price.exp() } else { 0.0 };
        // A queue can exceed the latency target before the first late response arrives.
        let max_wait = (MAX_WAIT_SHARE * (request.target_time - now)).max(self.settings.timer_resolution);
        let queueing_price =
            (queue_per_slot * self.state.mean_service_time.value / max_wait).powi(QUEUEING_EXPONENT);
        let price =
            learned_price * queue_per_slot.min(MAX_PRICED_QUEUE) + queueing_price + self.overload_price(now);
        AdmissionEstimate {
            acceptance_probability: value_of_work / (value_of_work + price),
            queueing_price,
            price,
        }
    }

    /// The part of the price that comes from the fleet's overload.
    ///
    /// The learned price rises too slowly if a hundred proxies send at once: the fleet would stay overloaded. With
    /// reliable reports the overload counts less, as it is also high where the service time is most of the latency
    /// target.
    fn overload_price(&self, now: Seconds) -> f64 {
        let unreliability = (1.0 - self.report_reliability().powi(2)).powi(2);
        OVERLOAD_PRICE_SLOPE * unreliability * (self.overload(now) - OVERLOAD_PRICE_THRESHOLD).max(0.0)
    }

    /// The present overload. It decays, since a proxy that sends nothing would never learn that an overload has ended.
    fn overload(&self, now: Seconds) -> f64 {
        // When servers drain or are in slow start, the others get more work and are overloaded before a response shows
        // it.
        let capacity_loss = self.state.overload.capacity_loss().min(MAX_CAPACITY_LOSS);
        self.state.overload.read(now, OVERLOAD_DECAY_DEADLINES * self.state.mean_deadline) * capacity_loss
    }

    /// The expected fraction of its value that a request earns if it takes `time` seconds on average from now.
    fn expected_value(&self, request: &PendingRequest, time: Seconds, now: Seconds) -> f64 {
        let late_value = self.settings.classes[request.class.0].late_value;
        let probability_by = |instant: Seconds| 1.0 - (-(instant - now).max(0.0) / time).exp();
        late_value * probability_by(request.deadline)
            + (1.0 - late_value) * probability_by(request.target_time)
    }

    /// The work of a request of the class, in units of a mean request.
    fn relative_work(&self, class: ClassId) -> f64 {
        self.state.classes[class.0].service_time.value / self.state.mean_service_time.value
    }
}
