//! Whether a request is taken on: its worth, the price of work, the strain.

use super::retry::{MAX_RETRY_BUDGET, RETRY_BUDGET_SHARE};
use super::server_selection::PROBE_WAIT;
use super::{Balancer, MEAN_GAIN};
use crate::interface::*;
use crate::state::*;

/// Where a zone has not been heard of for so many mean deadlines,
const ZONE_SILENCE: f64 = 2.0;
/// this share of the requests that would be refused there go there as trials.
const ZONE_TRIALS: f64 = 0.125;
/// The price of work rises while more than this share of the answers misses the wanted time.
const ALLOWED_MISSES: f64 = 0.1;
/// How far one answer moves the logarithm of that price.
const PRICE_GAIN: f64 = 0.1;
/// A refusal where the wait is under half of its limit says by this much that the price is too high.
const PRICE_RELIEF: f64 = 0.2;
/// The price's range, in units of the mean worth of work; at the lowest nothing is refused.
pub(super) const PRICE_RANGE: (f64, f64) = (0.02, 4.0);
/// A refused request counts as a miss with at least this share of its wanted time left.
const FIRST_TRY_TIME_LEFT: f64 = 0.9;
/// Waiting may take this share of what is left of the wanted time: longer queues keep crowded servers slow.
const MAX_WAIT_SHARE: f64 = 0.5;
/// How sharply refusal sets in as the waiting time ahead nears what is left of the wanted time.
const QUEUEING_POWER: i32 = 6;
/// The price counts in proportion to the waiting requests a slot, up to so many.
const MAX_PRICED_QUEUE: f64 = 4.0;
/// The time usually granted to a first try is given up after so many that differ in a row.
const USUAL_VOTES: f64 = 64.0;
/// What clients say of when they first tried is exact to so many ticks.
const FIRST_ATTEMPT_TICKS: f64 = 3.0;
/// The strain is the share of the wanted time that answers take; one that never comes counts for so much.
pub(super) const OVERLOAD_MISS: f64 = 2.0;
/// One given up after this share of the least wanted time never came.
pub(super) const OVERLOAD_MISS_AFTER: f64 = 0.9;
/// Danger: learnt over many answers, a trickle hears of a jam when it is over.
pub(super) const OVERLOAD_GAIN: f64 = 1.0 / 32.0;
/// Beyond this strain the price of work rises at once, so many times as steeply, as far as reports tell less.
const OVERLOAD_FREE: f64 = 0.23;
const OVERLOAD_PRICE: f64 = 20.0;
/// What is known of it fades within so many mean deadlines.
pub(crate) const OVERLOAD_LIFE: f64 = 10.0;
/// It counts as many times more as the ready servers can do less, by the list, than while answers came.
const MAX_CAPACITY_LOSS: f64 = 3.0;

impl Balancer {
    /// The share of a request's worth that it will likely earn when it takes `time` from now.
    fn expected_value(&self, job: &PendingRequest, time: Seconds, now: Seconds) -> f64 {
        let late = self.settings.classes[job.class.0].late_value;
        let by = |instant: Seconds| 1.0 - (-(instant - now).max(0.0) / time).exp();
        late * by(job.deadline) + (1.0 - late) * by(job.target_time)
    }

    /// A request's work in mean requests.
    fn relative_work(&self, class: ClassId) -> f64 {
        self.state.classes[class.0].service_time.value / self.state.mean_service.value
    }

    pub(super) fn on_request(&mut self, now: Seconds, request: Request, actions: &mut Vec<Action>) {
        let class = &self.settings.classes[request.class.0];
        let stats = &mut self.state.classes[request.class.0];
        // First tries mostly get the same time. A later one gets the rest of the deadline, which tells when
        // the first came. Danger: who merely waits less is refused as late. Late is who came then, unserved.
        let mut first = (request.time_left - stats.usual_time_left).abs() < self.settings.timer_resolution;
        stats.usual_votes = (stats.usual_votes + if first { 2.0 } else { -1.0 }).min(USUAL_VOTES);
        if stats.usual_votes < 0.0 {
            (stats.usual_time_left, stats.usual_votes, first) = (request.time_left, 1.0, true);
        }
        let elapsed = (class.deadline - request.time_left).max(0.0);
        let late =
            !first && stats.has_unserved(now - elapsed, FIRST_ATTEMPT_TICKS * self.settings.timer_resolution);
        let elapsed = if late { elapsed } else { 0.0 };
        let aim = now + (class.latency_target - elapsed).min(request.time_left);
        let mut job = PendingRequest::new(now, &request, elapsed, aim, self.settings.limits.max_attempts);
        self.state.mean_value.add(class.value, MEAN_GAIN);
        self.state.mean_service.add(stats.service_time.value, MEAN_GAIN);
        self.state.request_rate.add(now, self.state.mean_deadline);
        job.share_factor = self.share_factor(now, request.tenant);
        job.slow_start_draw = self.random_unit();
        // Danger: work that may go anywhere crowds out what is bound to a few servers. Of it those get only
        // what is left of an even load: so many of the requests that are not bound leave them alone.
        let bound = self.settings.classes[request.class.0].is_restricted();
        self.state
            .restricted_work
            .add(if bound { self.relative_work(request.class) } else { 0.0 }, MEAN_GAIN);
        let open = (1.0 - self.state.restricted_work.value / self.state.reserved_share)
            / (1.0 - self.state.restricted_work.value).max(f64::MIN_POSITIVE);
        job.avoids_reserved = !bound && self.state.reserved_share > 0.0 && self.random_unit() >= open;
        if now >= self.state.next_review_at {
            self.review_fleet(now);
        }
        // Danger: a request with hardly any time left must not spend it on waiting for probes.
        let latest = self.useful_until(&job) - 2.0 * self.settings.timer_resolution;
        job.probes_until = (now + PROBE_WAIT * self.settings.classes[job.class.0].latency_target).min(latest);
        self.state.retry_budget = (self.state.retry_budget + RETRY_BUDGET_SHARE).min(MAX_RETRY_BUDGET);
        let token = self.state.next_token;
        self.state.next_token += 1;
        self.state.tokens.insert(job.id, token);
        self.state.requests.insert(token, job);
        self.decide_first_attempt(now, token, actions);
    }

    /// The mean worth of the tenant's requests: what exceeds its share is worth little.
    fn share_factor(&mut self, now: Seconds, tenant: Option<TenantId>) -> f64 {
        let Some(TenantId(tenant)) = tenant else { return 1.0 };
        self.state.tenant_rates[tenant].add(now, self.state.mean_deadline);
        let own = self.state.tenant_rates[tenant].read(now, self.state.mean_deadline);
        let rest = self.state.request_rate.read(now, self.state.mean_deadline) - own;
        let share = self.settings.tenants[tenant].share;
        let fair = share / (1.0 - share).max(f64::MIN_POSITIVE) * rest;
        let inside = (fair / own).clamp(0.0, 1.0);
        inside + (1.0 - inside) * self.settings.over_share_value
    }

    /// What the request may hope for there: while work is scarce, the less it earns the sooner it is refused.
    fn admission_odds(&self, now: Seconds, job: &PendingRequest, endpoint: &Endpoint) -> AdmissionOdds {
        let earning = self.expected_value(job, self.expected_time(endpoint, job.class, now), now);
        let worth = self.settings.classes[job.class.0].value * job.share_factor * earning;
        let density = worth / self.state.mean_value.value / self.relative_work(job.class);
        // Danger: answers also miss their time for want of health; work on an idle server displaces nothing.
        let crowding = self.queue_per_slot(endpoint, now);
        let learnt = self.state.log_prices[self.state.market_of_class[job.class.0]];
        let learnt = if learnt > PRICE_RANGE.0.ln() { learnt.exp() } else { 0.0 };
        // Danger: a queue can outgrow the wanted time before the first late answer tells of it.
        let limit = (MAX_WAIT_SHARE * (job.target_time - now)).max(self.settings.timer_resolution);
        let ahead = (crowding * self.state.mean_service.value / limit).powi(QUEUEING_POWER);
        // Danger: a hundred that send on until a learnt price tells them to stop jam the fleet for good; but
        // where a service is much of the wanted time and reports hold, what servers say is better evidence.
        let blind = (1.0 - self.report_reliability().powi(2)).powi(2);
        let strain = OVERLOAD_PRICE * blind * (self.overload(now) - OVERLOAD_FREE).max(0.0);
        let price = learnt * crowding.min(MAX_PRICED_QUEUE) + ahead + strain;
        AdmissionOdds { acceptance: density / (density + price), queueing_price: ahead, price }
    }

    /// The strain by now. Danger: who sends nothing never hears that a jam is over.
    fn overload(&self, now: Seconds) -> f64 {
        // Danger: servers that drain or start cold leave their work to fewer, who jam before an answer tells.
        let lost = self.state.overload.capacity_loss().min(MAX_CAPACITY_LOSS);
        self.state.overload.read(now, OVERLOAD_LIFE * self.state.mean_deadline) * lost
    }

    /// Refuses early, by those odds.
    pub(super) fn admits(&mut self, now: Seconds, job: &PendingRequest, chosen: Option<EndpointId>) -> bool {
        let Some(EndpointId(index)) = chosen else { return true };
        let endpoint = &self.state.endpoints[index as usize];
        let AdmissionOdds { acceptance: taken, queueing_price: ahead, price, .. } =
            self.admission_odds(now, job, endpoint);
        // Danger: who sends nothing to a zone never hears that its crowd has gone.
        let heard = self.state.zones[self.load_pool(&endpoint.entry)].last_heard_at;
        let silent = now - heard > ZONE_SILENCE * self.state.mean_deadline;
        let taken = self.random_unit() < taken || (silent && self.random_unit() < ZONE_TRIALS);
        // Danger: the edge of the wait hardly asks for worth, and keeps away the late answers that would move
        // the price. A late try is no sign: little of its time is left wherever it goes.
        let class = &self.settings.classes[job.class.0];
        if !taken && job.target_time - now >= FIRST_TRY_TIME_LEFT * class.latency_target {
            // Danger: where few are taken on, their answers bring the price down too slowly for short queues.
            let short = ahead < 0.5_f64.powi(QUEUEING_POWER);
            let missed = if short { -PRICE_RELIEF } else { (1.0 - class.late_value) * ahead / price };
            self.adjust_price(job.class, missed);
        }
        taken
    }

    pub(super) fn may_repeat(&self, class: ClassId) -> bool {
        self.settings.classes[class.0].repeat_effect != RepeatEffect::Unsafe
    }

    /// When nothing that could still arrive is worth anything.
    pub(super) fn useful_until(&self, job: &PendingRequest) -> Seconds {
        let late = self.settings.classes[job.class.0].late_value > 0.0;
        if late { job.deadline } else { job.target_time.min(job.deadline) }
    }

    /// Danger: requests also miss their time at sick servers; only crowded ones are a sign of overload.
    pub(super) fn adjust_price(&mut self, class: ClassId, missed: f64) {
        let (lowest, highest) = (PRICE_RANGE.0.ln(), PRICE_RANGE.1.ln());
        let price = &mut self.state.log_prices[self.state.market_of_class[class.0]];
        *price = (*price + PRICE_GAIN * (missed.min(1.0) - ALLOWED_MISSES)).clamp(lowest, highest);
    }
}
