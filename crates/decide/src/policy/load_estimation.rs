//! What a figure means: the load, the pace and the crowding of a server, and what is learnt of them.

use super::server_selection::STALE_REPORT;
use super::{Balancer, MEAN_GAIN, SAMPLE_CAP, STALL_FACTOR};
use crate::interface::*;
use crate::state::*;

/// Weight of a new sample in a server's pace, in what connections cost and lose: the last dozen count.
const PACE_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the pace of a kind of machine: it has to follow the means it is measured by.
const KIND_GAIN: f64 = 1.0 / 32.0;
/// Weight of a new report in a zone's load, a kind's slots, reports' age: a rush has to show within seconds.
const REPORT_GAIN: f64 = 1.0 / 16.0;
/// No server holds more requests than this: an absurd report has to fade like any other.
const REPORT_CAP: f64 = 1e6;
/// A server's pace counts only beyond this (a natural logarithm): smaller differences are chance.
const PACE_NOISE: f64 = 0.25;
/// What a report says of others' load fades with this many mean service times: queues turn over meanwhile.
const REPORT_LIFE: f64 = 2.5;
/// On arrival it is as old as reports were seen to be; until then they are taken to be so many lives old.
pub(super) const INITIAL_REPORT_AGE: f64 = 1.4;
/// A server's pace fades with this many mean deadlines without an answer, so that it is tried again.
const PACE_LIFE: f64 = 2.0;
/// A new connection's price, as a share of a mean worth, counts for so many mean services.
const SETUP_PRICE: f64 = 4.0;

impl Balancer {
    pub(super) fn size(&self, endpoint: &Endpoint) -> f64 {
        match self.settings.weights {
            Weights::Size if endpoint.entry.weight > 0.0 => endpoint.entry.weight,
            _ => 1.0,
        }
    }

    pub(super) fn capacity(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        self.size(endpoint) * self.slow_start_factor(endpoint, now)
    }

    /// The least share of its capacity that a server has this long after its start.
    pub(super) fn slow_start_factor(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let Some(started) = endpoint.entry.started_at else { return 1.0 };
        let rules = &self.settings.rules;
        let risen = ((now - started) / rules.slow_start.max(self.settings.timer_resolution)).clamp(0.0, 1.0);
        rules.initial_capacity + (1.0 - rules.initial_capacity) * risen
    }

    /// Requests at the server: what others had by the last report, fading to the zone's usual, and own ones.
    fn load(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let zone = &self.state.zones[self.load_pool(&endpoint.entry)].log_load;
        // Danger: a zone not heard of yet looks idle to every sidecar of a crowded one.
        let mean = if zone.samples > 0.0 { zone.value } else { self.state.fleet_log_load.value };
        let usual = mean.exp_m1() * self.capacity(endpoint, now);
        // Danger: refused requests that look on until a report shows an idle server all end up there.
        endpoint.in_flight
            + usual
            + (endpoint.load_of_others - usual)
                * self.report_reliability()
                * self.report_freshness(endpoint, now)
    }

    /// How much of a report holds on arrival. Danger: where it is old, all act on the same idle server.
    pub(super) fn report_reliability(&self) -> f64 {
        (-self.state.report_age).exp()
    }

    /// How much of what its last report says of others still holds.
    pub(super) fn report_freshness(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        (-(now - endpoint.reported_at) / (REPORT_LIFE * self.state.mean_service.value)).exp()
    }

    /// How many times slower than its kind the server looks, by its answers or by its silence.
    fn slowdown(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let silent = now - endpoint.last_heard_at;
        let excess = endpoint.log_slowness * (-silent / (PACE_LIFE * self.state.mean_deadline)).exp();
        let slow = (excess - PACE_NOISE).max(0.0).exp();
        // Danger: a server that answers nothing never shows a long answer; its silence has to count.
        let stalled =
            if endpoint.in_flight > 0.0 { silent / (STALL_FACTOR * endpoint.expected_time) } else { 0.0 };
        slow.max(stalled)
    }

    pub(super) fn load_score(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        // Danger: new connections can be costly, and those to rarely used servers are always new.
        let open = self.has_free_connection(endpoint, now);
        let setup = if open { 0.0 } else { SETUP_PRICE * self.settings.connection_cost };
        ((self.load(endpoint, now) + 1.0) / self.capacity(endpoint, now) + setup)
            * self.slowdown(endpoint, now)
    }

    /// Whether a send finds an open connection with room that can be taken to work.
    pub(super) fn has_free_connection(&self, endpoint: &Endpoint, now: Seconds) -> bool {
        let streams = f64::from(self.settings.limits.streams_per_connection);
        let shared = endpoint.in_flight > 0.0 && streams > 1.0;
        endpoint.connections * streams > endpoint.in_flight
            && (shared || now - endpoint.connection_used_at < self.settings.limits.idle_timeout)
    }

    /// How many times its service time a request would take there, waiting included.
    pub(super) fn queue_per_slot(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let slots = self.state.kinds[endpoint.entry.kind.0].slots.value;
        (self.load(endpoint, now) + 1.0 - slots).max(0.0) / slots
    }

    pub(super) fn expected_time(&self, endpoint: &Endpoint, class: ClassId, now: Seconds) -> Seconds {
        let time = self.state.classes[class.0].service_time.value
            + self.state.mean_service.value * self.queue_per_slot(endpoint, now);
        let kind = (self.state.kinds[endpoint.entry.kind.0].log_slowness.value
            - self.state.fleet_log_slowness.value)
            .exp();
        time * kind * self.slowdown(endpoint, now) / self.slow_start_factor(endpoint, now)
    }

    pub(super) fn record_report(&mut self, now: Seconds, id: EndpointId, report: LoadReport) {
        let Some(load) = report.in_flight.or(report.queued) else { return };
        let capacity = self.capacity(&self.state.endpoints[id.0 as usize], now);
        let faded = self.report_freshness(&self.state.endpoints[id.0 as usize], now) < STALE_REPORT;
        let endpoint = &mut self.state.endpoints[id.0 as usize];
        let since = (now - endpoint.reported_at) / (REPORT_LIFE * self.state.mean_service.value);
        if since.is_finite() && load > 0.0 {
            // An equal one was not renewed meanwhile, nor will be for as long; an idle one tells nothing.
            let age = self.state.report_age;
            let sample = if report == endpoint.report { age + since } else { age.min(since / 2.0) };
            self.state.report_age += REPORT_GAIN * (sample.min(SAMPLE_CAP * INITIAL_REPORT_AGE) - age);
        }
        // Danger: an old report repeated on each answer is not fresh, but an idle server's never changes.
        if (report == endpoint.report && !faded) || !load.is_finite() {
            return;
        }
        endpoint.report = report;
        endpoint.reported_at = now;
        endpoint.load_of_others = (load.min(REPORT_CAP) - endpoint.in_flight).max(0.0);
        // Danger: one absurd report would be everybody's usual load from then on.
        let sample = endpoint.load_of_others / capacity;
        if let (Some(held), Some(queue)) = (report.in_flight, report.queued)
            && (queue >= 1.0
                || held - queue > (1.0 + PACE_NOISE) * self.state.kinds[endpoint.entry.kind.0].slots.value)
        {
            // Where requests wait all slots are taken; the figures are noisy: a mean, not the most ever seen.
            // Danger: before the first queue shows, idle slots would look taken; what is in work is a floor.
            let slots = &mut self.state.kinds[endpoint.entry.kind.0].slots;
            slots.add((held - queue).clamp(1.0, SAMPLE_CAP * slots.value), REPORT_GAIN);
        }
        // Danger: the first requests at a cold server are many for it; every warm one would seem as crowded.
        if self.slow_start_factor(&self.state.endpoints[id.0 as usize], now) >= 1.0 {
            self.record_load(now, id, sample);
        }
    }

    /// Danger: a sidecar that hears little of a zone would follow its rush only after it has passed.
    fn record_load(&mut self, now: Seconds, id: EndpointId, load: f64) {
        let pool = self.load_pool(&self.state.endpoints[id.0 as usize].entry);
        let since = 1.0 - ((self.state.zones[pool].last_heard_at - now) / self.state.mean_deadline).exp();
        self.state.zones[pool].log_load.add(load.ln_1p(), since.max(REPORT_GAIN));
        self.state.fleet_log_load.add(load.ln_1p(), REPORT_GAIN);
        self.state.zones[pool].last_heard_at = now;
    }

    /// Where loads are pooled: by zone, apart for the servers that some class is bound to, as those differ.
    pub(super) fn load_pool(&self, entry: &ListEntry) -> usize {
        2 * entry.zone.0 + usize::from(self.is_reserved(entry))
    }

    /// Danger: where all answers come too late, every attempt is given up before its report, and a sidecar
    /// with little traffic keeps taking a jammed zone for idle. What was held so long waited behind others.
    pub(super) fn record_unanswered(&mut self, now: Seconds, id: EndpointId, held: Seconds) {
        let endpoint = &self.state.endpoints[id.0 as usize];
        // Danger: one hung server must not close its zone; the queue it tells of is bounded.
        let services = (held / self.state.mean_service.value).min(SAMPLE_CAP);
        let load =
            self.load(endpoint, now).max(self.state.kinds[endpoint.entry.kind.0].slots.value * services);
        let capacity = self.capacity(endpoint, now);
        self.record_load(now, id, load / capacity);
        let endpoint = &mut self.state.endpoints[id.0 as usize];
        endpoint.load_of_others = load;
        endpoint.reported_at = now;
    }

    pub(super) fn record_response(
        &mut self,
        id: EndpointId,
        class: ClassId,
        attempt: &Attempt,
        rtt: Seconds,
    ) {
        let stats = &mut self.state.classes[class.0];
        let sample = (rtt / attempt.queue_factor).min(SAMPLE_CAP * stats.service_time.value);
        stats.service_time.add(sample, MEAN_GAIN);
        let pace = (rtt / (stats.service_time.value * attempt.queue_factor)).max(1e-3).ln();
        let endpoint = &mut self.state.endpoints[id.0 as usize];
        let kind = &mut self.state.kinds[endpoint.entry.kind.0].log_slowness;
        kind.add(pace, KIND_GAIN);
        // Danger: a server not heard from yet, measured against a mean that has moved, looks slow or fast.
        endpoint.log_slowness += PACE_GAIN * (pace - kind.value - endpoint.log_slowness);
        self.state.fleet_log_slowness.add(pace, KIND_GAIN);
    }
}
