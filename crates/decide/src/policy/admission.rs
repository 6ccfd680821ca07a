//! Whether a request is admitted: its value, set against the price of work.

use super::balancer::Balancer;
use super::tuning::{MAX_RETRY_BUDGET, MEAN_GAIN, MIN_PRICE, OVERLOAD_DECAY};
use crate::interface::{Action, ClassId, EndpointId, Request, Seconds, TenantId};
use crate::state::{Endpoint, PendingRequest};

/// Retries and hedged requests together stay below this fraction of the requests, so that they feed no retry storm.
const RETRY_BUDGET_SHARE: f64 = 0.2;
/// A first attempt waits for probes during this fraction of the latency target.
const PROBE_WAIT: f64 = 1.0 / 16.0;
/// A zone is silent if for this multiple of the mean deadline none of its servers has responded or reported.
const ZONE_SILENCE: f64 = 2.0;
/// The fraction of the requests rejected for a silent zone that are sent there nevertheless, as trials.
const ZONE_TRIALS: f64 = 0.125;
/// By how much a rejection lowers the price if the wait is under half of its limit, in units of a missed response.
const PRICE_RELIEF: f64 = 0.2;
/// A rejected request counts as a miss with at least this fraction of its latency target left.
const FIRST_TRY_TIME_LEFT: f64 = 0.9;
/// Queueing may take this fraction of the time to the target: longer queues keep crowded servers slow.
const MAX_WAIT_SHARE: f64 = 0.5;
/// How sharply rejection sets in as the expected queueing time approaches [`MAX_WAIT_SHARE`].
const QUEUEING_POWER: i32 = 6;
/// The price counts in proportion to the queue per slot, up to this length.
const MAX_PRICED_QUEUE: f64 = 4.0;
/// The usual time of a first attempt is given up after this number of requests in a row that differ.
const MAX_USUAL_VOTES: f64 = 64.0;
/// How exactly clients say when they first tried, in units of the timer resolution.
const FIRST_ATTEMPT_TICKS: f64 = 3.0;
/// Up to this overload the price of work stays as it was learned.
const MAX_FREE_OVERLOAD: f64 = 0.23;
/// The price of overload beyond [`MAX_FREE_OVERLOAD`], as far as reports are not reliable.
const OVERLOAD_PRICE: f64 = 20.0;
/// The overload is multiplied by the loss of capacity since the responses that it was learned from, up to this factor.
const MAX_CAPACITY_LOSS: f64 = 3.0;

/// What a request may expect at a server.
struct AdmissionOdds {
    /// The probability with which it is admitted.
    acceptance: f64,
    /// What the expected queueing time adds to the price of work.
    queueing_price: f64,
    price: f64,
}

impl Balancer {
    /// Takes a new request, and decides on its first attempt.
    pub(super) fn on_request(&mut self, now: Seconds, request: Request, actions: &mut Vec<Action>) {
        let elapsed = self.time_since_first_attempt(now, &request);
        let class = &self.settings.classes[request.class.0];
        let target_time = now + (class.latency_target - elapsed).min(request.time_left);
        let max_attempts = self.settings.limits.max_attempts;
        let mut pending = PendingRequest::new(now, &request, elapsed, target_time, max_attempts);
        self.state.mean_value.add(class.value, MEAN_GAIN);
        self.state.mean_service.add(self.state.classes[request.class.0].service_time.value, MEAN_GAIN);
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

    /// How long ago the client of a new request first tried, as far as its remaining time shows.
    ///
    /// First attempts mostly have the same time left. A retry has the rest of its deadline, which shows when the first
    /// attempt was made; but a client that merely waits less than others must not be rejected as late. So a request counts
    /// as a retry only if one that was first tried at that time ended unserved here.
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
        let tolerance = FIRST_ATTEMPT_TICKS * self.settings.timer_resolution;
        let is_retry = !is_usual && stats.has_unserved(now - elapsed, tolerance);
        if is_retry { elapsed } else { 0.0 }
    }

    /// Draws whether a request leaves reserved servers alone.
    ///
    /// Work that may run anywhere would displace what is restricted to a few servers. Of it these get only what is left of
    /// an even load.
    fn draw_avoids_reserved(&mut self, class: ClassId) -> bool {
        let is_restricted = self.settings.classes[class.0].is_restricted();
        let restricted_work = if is_restricted { self.relative_work(class) } else { 0.0 };
        self.state.restricted_work.add(restricted_work, MEAN_GAIN);
        let restricted_work = self.state.restricted_work.value;
        let share_left = (1.0 - restricted_work / self.state.reserved_share)
            / (1.0 - restricted_work).max(f64::MIN_POSITIVE);
        !is_restricted && self.state.reserved_share > 0.0 && self.random_unit() >= share_left
    }

    /// How long a request may wait for probes; one with hardly any time left must not wait at all.
    fn probes_until(&self, now: Seconds, request: &PendingRequest) -> Seconds {
        let latest = self.useful_until(request) - 2.0 * self.settings.timer_resolution;
        let class = &self.settings.classes[request.class.0];
        (now + PROBE_WAIT * class.latency_target).min(latest)
    }

    /// The mean value of the tenant's requests as a fraction: what exceeds its share has little value.
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

    /// Decides by those odds whether a request is sent to its server, or rejected early.
    pub(super) fn admits(
        &mut self,
        now: Seconds,
        request: &PendingRequest,
        chosen: Option<EndpointId>,
    ) -> bool {
        let Some(id) = chosen else { return true };
        let endpoint = self.state.endpoint(id);
        let odds = self.admission_odds(now, request, endpoint);
        // A proxy that sends nothing to a zone would never learn that its queues are gone.
        let last_contact_at = self.state.zones[self.load_pool(&endpoint.entry)].last_contact_at;
        let is_silent = now - last_contact_at > ZONE_SILENCE * self.state.mean_deadline;
        let is_admitted =
            self.random_unit() < odds.acceptance || (is_silent && self.random_unit() < ZONE_TRIALS);
        if !is_admitted {
            self.adjust_price_after_rejection(now, request, &odds);
        }
        is_admitted
    }

    /// The limit of queueing hardly asks for a request's value, and keeps away the late responses that would move the
    /// price; so rejections move it as well. A late retry is no sign: little of its time is left at any server.
    fn adjust_price_after_rejection(&mut self, now: Seconds, request: &PendingRequest, odds: &AdmissionOdds) {
        let class = &self.settings.classes[request.class.0];
        if request.target_time - now < FIRST_TRY_TIME_LEFT * class.latency_target {
            return;
        }
        // Where few are admitted, their responses lower the price too slowly for short queues.
        let is_short_queue = odds.queueing_price < 0.5_f64.powi(QUEUEING_POWER);
        let missed = if is_short_queue {
            -PRICE_RELIEF
        } else {
            (1.0 - class.late_value) * odds.queueing_price / odds.price
        };
        self.adjust_price(request.class, missed);
    }

    /// What the request may expect there: while work is scarce, the less value it has the sooner it is rejected.
    fn admission_odds(&self, now: Seconds, request: &PendingRequest, endpoint: &Endpoint) -> AdmissionOdds {
        let class = request.class;
        let earned = self.expected_value(request, self.expected_time(endpoint, class, now), now);
        let value = self.settings.classes[class.0].value * request.share_factor * earned;
        let value_of_work = value / self.state.mean_value.value / self.relative_work(class);
        // Responses also miss their target at unhealthy servers; work on an idle server displaces nothing.
        let queue_per_slot = self.queue_per_slot(endpoint, now);
        let log_price = self.state.log_prices[self.state.market_of_class[class.0]];
        let learned_price = if log_price > MIN_PRICE.ln() { log_price.exp() } else { 0.0 };
        // A queue can outgrow the latency target before the first late response shows it.
        let max_wait = (MAX_WAIT_SHARE * (request.target_time - now)).max(self.settings.timer_resolution);
        let queueing_price = (queue_per_slot * self.state.mean_service.value / max_wait).powi(QUEUEING_POWER);
        let price =
            learned_price * queue_per_slot.min(MAX_PRICED_QUEUE) + queueing_price + self.overload_price(now);
        AdmissionOdds { acceptance: value_of_work / (value_of_work + price), queueing_price, price }
    }

    /// A hundred proxies that send on until a learned price stops them would overload the fleet for good. But where the
    /// service time is much of the latency target and reports are reliable, these are better evidence.
    fn overload_price(&self, now: Seconds) -> f64 {
        let unreliability = (1.0 - self.report_reliability().powi(2)).powi(2);
        OVERLOAD_PRICE * unreliability * (self.overload(now) - MAX_FREE_OVERLOAD).max(0.0)
    }

    /// The overload by now; it decays, as a proxy that sends nothing would never learn that it is over.
    fn overload(&self, now: Seconds) -> f64 {
        // Servers that drain or are in slow start leave their work to fewer, which are overloaded before a response
        // shows it.
        let capacity_loss = self.state.overload.capacity_loss().min(MAX_CAPACITY_LOSS);
        self.state.overload.read(now, OVERLOAD_DECAY * self.state.mean_deadline) * capacity_loss
    }

    /// The fraction of its value that a request likely earns when it takes `time` from now.
    fn expected_value(&self, request: &PendingRequest, time: Seconds, now: Seconds) -> f64 {
        let late_value = self.settings.classes[request.class.0].late_value;
        let probability_by = |instant: Seconds| 1.0 - (-(instant - now).max(0.0) / time).exp();
        late_value * probability_by(request.deadline)
            + (1.0 - late_value) * probability_by(request.target_time)
    }

    /// The work of a request, in units of the mean request.
    fn relative_work(&self, class: ClassId) -> f64 {
        self.state.classes[class.0].service_time.value / self.state.mean_service.value
    }
}
