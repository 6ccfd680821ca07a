//! The load, the pace and the queue of a server, and what reports and responses say of them.

use super::balancer::Balancer;
use super::tuning::{INITIAL_REPORT_AGE, MEAN_GAIN, SAMPLE_CAP, STALE_REPORT, STALL_FACTOR};
use crate::interface::{ClassId, EndpointId, ListEntry, LoadReport, Seconds, Weights};
use crate::state::{Attempt, Endpoint};

/// Weight of a new sample in a server's slowness: about the last dozen count.
const SLOWNESS_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the slowness of a kind of machine: it has to follow the means it is measured by.
const KIND_GAIN: f64 = 1.0 / 32.0;
/// Weight of a new report in a zone's load, a kind's slots, and the age of reports: a rush has to show within seconds.
const REPORT_GAIN: f64 = 1.0 / 16.0;
/// No server has more requests than this: an absurd report has to decay like any other.
const REPORT_CAP: f64 = 1e6;
/// A server's slowness counts only beyond this (a natural logarithm): smaller differences are chance.
const SLOWNESS_NOISE: f64 = 0.25;
/// What a report says of others' load decays with this many mean service times: queues turn over meanwhile.
const REPORT_DECAY: f64 = 2.5;
/// A server's slowness decays with this many mean deadlines without a response, so that it is tried again.
const SLOWNESS_DECAY: f64 = 2.0;
/// The load, in requests, of a new connection that costs a mean value.
const CONNECTION_LOAD: f64 = 4.0;

impl Balancer {
    /// The size of a server: 1 unless its weight says otherwise.
    pub(super) fn size(&self, endpoint: &Endpoint) -> f64 {
        match self.settings.weights {
            Weights::Size if endpoint.entry.weight > 0.0 => endpoint.entry.weight,
            _ => 1.0,
        }
    }

    /// What a server can do at present, in units of size.
    pub(super) fn capacity(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        self.size(endpoint) * self.slow_start_factor(endpoint, now)
    }

    /// The least fraction of its capacity that a server has this long after its start.
    pub(super) fn slow_start_factor(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let Some(started_at) = endpoint.entry.started_at else { return 1.0 };
        let rules = &self.settings.rules;
        let duration = rules.slow_start.max(self.settings.timer_resolution);
        let progress = ((now - started_at) / duration).clamp(0.0, 1.0);
        rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
    }

    /// Requests at the server: what others had by the last report, decaying to the usual load of its zone, and own ones.
    fn load(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let zone_load = &self.state.zones[self.load_pool(&endpoint.entry)].log_load;
        // A zone without a report yet would look idle to every proxy of a crowded one.
        let log_load =
            if zone_load.samples > 0.0 { zone_load.value } else { self.state.fleet_log_load.value };
        let usual = log_load.exp_m1() * self.capacity(endpoint, now);
        // Without the decay, waiting requests would all be sent to a server whose report shows it idle.
        let (reliability, freshness) = (self.report_reliability(), self.report_freshness(endpoint, now));
        endpoint.in_flight + usual + (endpoint.load_of_others - usual) * reliability * freshness
    }

    /// How much of a report holds on arrival. Where reports are old, all proxies would act on the same idle server.
    pub(super) fn report_reliability(&self) -> f64 {
        (-self.state.report_age).exp()
    }

    /// How much of what a server's last report says of others still holds.
    pub(super) fn report_freshness(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        (-(now - endpoint.reported_at) / (REPORT_DECAY * self.state.mean_service.value)).exp()
    }

    /// How many times slower than its kind the server looks, by its responses or by its silence.
    fn slowdown(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let since_contact = now - endpoint.last_contact_at;
        let decay = (-since_contact / (SLOWNESS_DECAY * self.state.mean_deadline)).exp();
        let measured = (endpoint.log_slowness * decay - SLOWNESS_NOISE).max(0.0).exp();
        // A server that does not respond never shows a long response time; the time without one has to count.
        let is_busy = endpoint.in_flight > 0.0;
        let stalled = if is_busy { since_contact / (STALL_FACTOR * endpoint.expected_time) } else { 0.0 };
        measured.max(stalled)
    }

    /// What the two servers of a pair are compared by: the load per unit of capacity, the cost of a new connection
    /// included, times the slowdown.
    pub(super) fn load_score(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        // New connections can be expensive, and those to rarely used servers are always new.
        let connection_load = if self.has_free_connection(endpoint, now) {
            0.0
        } else {
            CONNECTION_LOAD * self.settings.connection_cost
        };
        let load_per_capacity = (self.load(endpoint, now) + 1.0) / self.capacity(endpoint, now);
        (load_per_capacity + connection_load) * self.slowdown(endpoint, now)
    }

    /// Whether a send finds an open connection with a free stream that can be assumed to work.
    pub(super) fn has_free_connection(&self, endpoint: &Endpoint, now: Seconds) -> bool {
        let streams = f64::from(self.settings.limits.streams_per_connection);
        let is_shared = endpoint.in_flight > 0.0 && streams > 1.0;
        let is_recent = now - endpoint.connection_used_at < self.settings.limits.idle_timeout;
        endpoint.connections * streams > endpoint.in_flight && (is_shared || is_recent)
    }

    /// How many requests per slot a new request would find queued there.
    pub(super) fn queue_per_slot(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let slots = self.state.slots(endpoint);
        (self.load(endpoint, now) + 1.0 - slots).max(0.0) / slots
    }

    /// How long a response of the server is expected to take.
    pub(super) fn expected_time(&self, endpoint: &Endpoint, class: ClassId, now: Seconds) -> Seconds {
        let time = self.state.classes[class.0].service_time.value
            + self.state.mean_service.value * self.queue_per_slot(endpoint, now);
        let log_slowness = self.state.kinds[endpoint.entry.kind.0].log_slowness.value;
        let kind_factor = (log_slowness - self.state.fleet_log_slowness.value).exp();
        time * kind_factor * self.slowdown(endpoint, now) / self.slow_start_factor(endpoint, now)
    }

    /// Takes a server's report of its load.
    pub(super) fn record_report(&mut self, now: Seconds, id: EndpointId, report: LoadReport) {
        let Some(load) = report.in_flight.or(report.queued) else { return };
        let endpoint = self.state.endpoint(id);
        let capacity = self.capacity(endpoint, now);
        let is_stale = self.report_freshness(endpoint, now) < STALE_REPORT;
        self.update_report_age(now, id, report, load);
        let endpoint = self.state.endpoint_mut(id);
        // An old report that is repeated with each response is not fresh, but an idle server's never changes.
        if (report == endpoint.report && !is_stale) || !load.is_finite() {
            return;
        }
        endpoint.report = report;
        endpoint.reported_at = now;
        // One absurd report must not be everybody's usual load from then on.
        endpoint.load_of_others = (load.min(REPORT_CAP) - endpoint.in_flight).max(0.0);
        let load_per_capacity = endpoint.load_of_others / capacity;
        self.update_slots(id, report);
        // The first requests at a server in slow start are many for it; all others would seem as crowded.
        if self.slow_start_factor(self.state.endpoint(id), now) >= 1.0 {
            self.record_load(now, id, load_per_capacity);
        }
    }

    /// Learns how old reports are on arrival.
    fn update_report_age(&mut self, now: Seconds, id: EndpointId, report: LoadReport, load: f64) {
        let endpoint = self.state.endpoint(id);
        let decay_times_since = (now - endpoint.reported_at) / (REPORT_DECAY * self.state.mean_service.value);
        if !decay_times_since.is_finite() || load <= 0.0 || load.is_nan() {
            return;
        }
        // An equal report was not renewed meanwhile, nor will be for as long; an idle server's says nothing.
        let age = self.state.report_age;
        let sample = if report == endpoint.report {
            age + decay_times_since
        } else {
            age.min(decay_times_since / 2.0)
        };
        self.state.report_age += REPORT_GAIN * (sample.min(SAMPLE_CAP * INITIAL_REPORT_AGE) - age);
    }

    /// Learns how many slots the servers of a kind have: where requests queue all slots are taken, and before the first
    /// queue shows, the requests in work are a lower bound. The reports are noisy, so a mean is kept and not a maximum.
    fn update_slots(&mut self, id: EndpointId, report: LoadReport) {
        let (Some(in_flight), Some(queued)) = (report.in_flight, report.queued) else { return };
        let kind = self.state.endpoint(id).entry.kind;
        let slots = &mut self.state.kinds[kind.0].slots;
        let in_work = in_flight - queued;
        if queued >= 1.0 || in_work > (1.0 + SLOWNESS_NOISE) * slots.value {
            slots.add(in_work.clamp(1.0, SAMPLE_CAP * slots.value), REPORT_GAIN);
        }
    }

    /// Adds a load per unit of capacity to the means of its zone and of the fleet. The longer nothing was received from the
    /// zone, the more it counts: a proxy with few reports of it would follow a rush only after it has passed.
    fn record_load(&mut self, now: Seconds, id: EndpointId, load: f64) {
        let pool = self.load_pool(&self.state.endpoint(id).entry);
        let mean_deadline = self.state.mean_deadline;
        let zone = &mut self.state.zones[pool];
        let gain = 1.0 - ((zone.last_contact_at - now) / mean_deadline).exp();
        zone.log_load.add(load.ln_1p(), gain.max(REPORT_GAIN));
        zone.last_contact_at = now;
        self.state.fleet_log_load.add(load.ln_1p(), REPORT_GAIN);
    }

    /// The index of the zone's statistics; servers that are reserved for some class have their own, as their loads differ.
    pub(super) fn load_pool(&self, entry: &ListEntry) -> usize {
        2 * entry.zone.0 + usize::from(self.is_reserved(entry))
    }

    /// Takes an attempt that was given up without a response after `waited`: it waited behind others.
    ///
    /// Where all responses come too late, every attempt is given up before its report, and a proxy with little traffic
    /// would take an overloaded zone for idle.
    pub(super) fn record_unanswered(&mut self, now: Seconds, id: EndpointId, waited: Seconds) {
        let endpoint = self.state.endpoint(id);
        // One hung server must not close its zone: the queue that is concluded from it is bounded.
        let service_times = (waited / self.state.mean_service.value).min(SAMPLE_CAP);
        let load = self.load(endpoint, now).max(self.state.slots(endpoint) * service_times);
        let capacity = self.capacity(endpoint, now);
        self.record_load(now, id, load / capacity);
        let endpoint = self.state.endpoint_mut(id);
        endpoint.load_of_others = load;
        endpoint.reported_at = now;
    }

    /// Learns service times from the response time of an attempt.
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
        let expected = stats.service_time.value * attempt.queue_factor;
        let log_slowness = (rtt / expected).max(1e-3).ln();
        let kind = self.state.endpoint(id).entry.kind;
        let kind_mean = &mut self.state.kinds[kind.0].log_slowness;
        kind_mean.add(log_slowness, KIND_GAIN);
        let kind_slowness = kind_mean.value;
        // Measured against its kind: against a mean that has moved since, a server without a response looks slow or fast.
        let endpoint = self.state.endpoint_mut(id);
        endpoint.log_slowness += SLOWNESS_GAIN * (log_slowness - kind_slowness - endpoint.log_slowness);
        self.state.fleet_log_slowness.add(log_slowness, KIND_GAIN);
    }
}
