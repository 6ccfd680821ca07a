//! Estimates the load, speed and queue of each server from load reports and response times.

use super::balancer::Balancer;
use super::tuning::{INITIAL_REPORT_AGE, MEAN_GAIN, SAMPLE_CAP, STALE_REPORT_WEIGHT, STALL_FACTOR};
use crate::interface::{ClassId, EndpointId, ListEntry, LoadReport, Seconds, Weights};
use crate::state::{Attempt, Endpoint};

/// Weight of a new sample in a server's slowness: about the last dozen samples count.
const SLOWNESS_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the slowness of a kind of machine. It has to keep up with the mean service times that the
/// samples are relative to.
const KIND_SLOWNESS_GAIN: f64 = 1.0 / 32.0;
/// Weight of a new report in a zone's load, a kind's slots and the age of reports. A burst must show within seconds.
const REPORT_GAIN: f64 = 1.0 / 16.0;
/// Reported loads are capped at this number of requests, so that an absurd report decays like any other.
const MAX_REPORTED_LOAD: f64 = 1e6;
/// A server's slowness counts only beyond this threshold, a natural logarithm: smaller differences are noise.
const SLOWNESS_NOISE: f64 = 0.25;
/// The time constant of the decay of a report, in mean service times: queues turn over in that time.
const REPORT_DECAY_SERVICE_TIMES: f64 = 2.5;
/// The time constant of the decay of a server's slowness while it does not respond, in mean deadlines. The decay lets a
/// slow server be tried again.
const SLOWNESS_DECAY_DEADLINES: f64 = 2.0;
/// The load, in requests, that counts for a new connection whose cost equals a mean request's value.
const CONNECTION_LOAD: f64 = 4.0;

impl Balancer {
    /// The size of a server: its weight if weights are sizes, else 1.
    pub(super) fn size(&self, endpoint: &Endpoint) -> f64 {
        match self.settings.weights {
            Weights::Size if endpoint.entry.weight > 0.0 => endpoint.entry.weight,
            _ => 1.0,
        }
    }

    /// The present capacity of a server, in units of size.
    pub(super) fn capacity(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        self.size(endpoint) * self.slow_start_factor(endpoint, now)
    }

    /// The fraction of its full capacity that a server has at least at this time of its slow start; 1 after it.
    pub(super) fn slow_start_factor(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let Some(started_at) = endpoint.entry.started_at else { return 1.0 };
        let rules = &self.settings.rules;
        let duration = rules.slow_start.max(self.settings.timer_resolution);
        let progress = ((now - started_at) / duration).clamp(0.0, 1.0);
        rules.initial_capacity + (1.0 - rules.initial_capacity) * progress
    }

    /// The estimated number of requests at the server: this proxy's own, plus the load of others by the last report,
    /// which decays to the typical load of its zone.
    fn load(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let zone_load = &self.state.zones[self.zone_stats_index(&endpoint.entry)].log_load;
        // Without the fleet's mean a zone without any report would look idle to every proxy of a crowded zone.
        let log_load =
            if zone_load.samples > 0.0 { zone_load.value } else { self.state.fleet_log_load.value };
        let typical_load = log_load.exp_m1() * self.capacity(endpoint, now);
        // Without the decay all waiting requests would go to the server that last reported to be idle.
        let (reliability, freshness) = (self.report_reliability(), self.report_freshness(endpoint, now));
        endpoint.in_flight + typical_load + (endpoint.external_load - typical_load) * reliability * freshness
    }

    /// The weight of a report on arrival, from 0 to 1. It is low where reports arrive late: otherwise all proxies would
    /// send to the same server that looked idle.
    pub(super) fn report_reliability(&self) -> f64 {
        (-self.state.report_age).exp()
    }

    /// The remaining weight of a server's last report, from 0 to 1.
    pub(super) fn report_freshness(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        (-(now - endpoint.reported_at) / (REPORT_DECAY_SERVICE_TIMES * self.state.mean_service_time.value))
            .exp()
    }

    /// The factor by which the server is slower than its kind of machine, judged by its response times and by how long
    /// it has not responded.
    fn slowdown(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let since_contact = now - endpoint.last_contact_at;
        let decay = (-since_contact / (SLOWNESS_DECAY_DEADLINES * self.state.mean_deadline)).exp();
        let measured = (endpoint.log_slowness * decay - SLOWNESS_NOISE).max(0.0).exp();
        // A server that never responds has no response times, so the time without a response counts as well.
        let is_busy = endpoint.in_flight > 0.0;
        let stalled = if is_busy { since_contact / (STALL_FACTOR * endpoint.expected_time) } else { 0.0 };
        measured.max(stalled)
    }

    /// The score by which the two servers of a pair are compared: the load per unit of capacity, plus the cost of a new
    /// connection, times the slowdown. The lower one is preferred.
    pub(super) fn load_score(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        // New connections can be expensive, and a rarely used server always needs one.
        let connection_load = if self.has_free_connection(endpoint, now) {
            0.0
        } else {
            CONNECTION_LOAD * self.settings.connection_cost
        };
        let load_per_capacity = (self.load(endpoint, now) + 1.0) / self.capacity(endpoint, now);
        (load_per_capacity + connection_load) * self.slowdown(endpoint, now)
    }

    /// Returns true if there probably is a working connection with a free stream.
    pub(super) fn has_free_connection(&self, endpoint: &Endpoint, now: Seconds) -> bool {
        let streams = f64::from(self.settings.limits.streams_per_connection);
        let is_shared = endpoint.in_flight > 0.0 && streams > 1.0;
        let is_recent = now - endpoint.connection_used_at < self.settings.limits.idle_timeout;
        endpoint.connections * streams > endpoint.in_flight && (is_shared || is_recent)
    }

    /// The number of queued requests per slot that a new request would find at the server.
    pub(super) fn queue_per_slot(&self, endpoint: &Endpoint, now: Seconds) -> f64 {
        let slots = self.state.slots(endpoint);
        (self.load(endpoint, now) + 1.0 - slots).max(0.0) / slots
    }

    /// The expected response time of the server for a class.
    pub(super) fn expected_time(&self, endpoint: &Endpoint, class: ClassId, now: Seconds) -> Seconds {
        let time = self.state.classes[class.0].service_time.value
            + self.state.mean_service_time.value * self.queue_per_slot(endpoint, now);
        let log_slowness = self.state.kinds[endpoint.entry.kind.0].log_slowness.value;
        let kind_factor = (log_slowness - self.state.fleet_log_slowness.value).exp();
        time * kind_factor * self.slowdown(endpoint, now) / self.slow_start_factor(endpoint, now)
    }

    /// Updates the estimates from a server's load report.
    pub(super) fn record_report(&mut self, now: Seconds, id: EndpointId, report: LoadReport) {
        let Some(load) = report.in_flight.or(report.queued) else { return };
        let endpoint = self.state.endpoint(id);
        let capacity = self.capacity(endpoint, now);
        let is_stale = self.report_freshness(endpoint, now) < STALE_REPORT_WEIGHT;
        self.update_report_age(now, id, report, load);
        let endpoint = self.state.endpoint_mut(id);
        // An unchanged report may be an old one that is repeated with each response. Once the last one is stale it is
        // accepted again, since the report of an idle server never changes.
        if (report == endpoint.report && !is_stale) || !load.is_finite() {
            return;
        }
        endpoint.report = report;
        endpoint.reported_at = now;
        // The cap keeps one absurd report from setting the typical load of all servers.
        endpoint.external_load = (load.min(MAX_REPORTED_LOAD) - endpoint.in_flight).max(0.0);
        let load_per_capacity = endpoint.external_load / capacity;
        self.update_slots(id, report);
        // Few requests are already a high load for a server in slow start; other servers must not look as crowded.
        if self.slow_start_factor(self.state.endpoint(id), now) >= 1.0 {
            self.record_load(now, id, load_per_capacity);
        }
    }

    /// Updates the estimated age of reports on arrival.
    fn update_report_age(&mut self, now: Seconds, id: EndpointId, report: LoadReport, load: f64) {
        let endpoint = self.state.endpoint(id);
        let decay_times_since_report =
            (now - endpoint.reported_at) / (REPORT_DECAY_SERVICE_TIMES * self.state.mean_service_time.value);
        if !decay_times_since_report.is_finite() || load <= 0.0 || load.is_nan() {
            return;
        }
        // An equal report has not been renewed since the last one, so reports are at least that old. Reports of idle
        // servers are ignored above, since they never change.
        let age = self.state.report_age;
        let sample = if report == endpoint.report {
            age + decay_times_since_report
        } else {
            age.min(decay_times_since_report / 2.0)
        };
        self.state.report_age += REPORT_GAIN * (sample.min(SAMPLE_CAP * INITIAL_REPORT_AGE) - age);
    }

    /// Updates the estimated number of slots of servers of a kind. If requests are queued, all slots are in use;
    /// without a queue the running requests are a lower bound. Reports are noisy, so this is a mean and not a maximum.
    fn update_slots(&mut self, id: EndpointId, report: LoadReport) {
        let (Some(in_flight), Some(queued)) = (report.in_flight, report.queued) else { return };
        let kind = self.state.endpoint(id).entry.kind;
        let slots = &mut self.state.kinds[kind.0].slots;
        let running = in_flight - queued;
        if queued >= 1.0 || running > (1.0 + SLOWNESS_NOISE) * slots.value {
            slots.add(running.clamp(1.0, SAMPLE_CAP * slots.value), REPORT_GAIN);
        }
    }

    /// Adds a load per unit of capacity to the means of its zone and of the fleet. Its weight rises with the time since
    /// the last contact with the zone: otherwise a proxy with few reports would notice a burst only after its end.
    fn record_load(&mut self, now: Seconds, id: EndpointId, load: f64) {
        let zone_index = self.zone_stats_index(&self.state.endpoint(id).entry);
        let mean_deadline = self.state.mean_deadline;
        let zone = &mut self.state.zones[zone_index];
        let gain = 1.0 - ((zone.last_contact_at - now) / mean_deadline).exp();
        zone.log_load.add(load.ln_1p(), gain.max(REPORT_GAIN));
        zone.last_contact_at = now;
        self.state.fleet_log_load.add(load.ln_1p(), REPORT_GAIN);
    }

    /// The index of the statistics of the server's zone. Reserved servers have separate statistics, as their load
    /// differs.
    pub(super) fn zone_stats_index(&self, entry: &ListEntry) -> usize {
        2 * entry.zone.0 + usize::from(self.is_reserved(entry))
    }

    /// Raises the load estimate of a server after an attempt was given up without a response after `waited` seconds: it
    /// is assumed to have been queued.
    ///
    /// If all responses are too late, every attempt is given up before its load report arrives, and a proxy with little
    /// traffic would consider an overloaded zone idle.
    pub(super) fn record_unanswered(&mut self, now: Seconds, id: EndpointId, waited: Seconds) {
        let endpoint = self.state.endpoint(id);
        // The cap keeps one hung server from making its whole zone look overloaded.
        let service_times = (waited / self.state.mean_service_time.value).min(SAMPLE_CAP);
        let load = self.load(endpoint, now).max(self.state.slots(endpoint) * service_times);
        let capacity = self.capacity(endpoint, now);
        self.record_load(now, id, load / capacity);
        let endpoint = self.state.endpoint_mut(id);
        endpoint.external_load = load;
        endpoint.reported_at = now;
    }

    /// Updates the service time of the class and the slowness of the server and its kind from a response time.
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
        kind_mean.add(log_slowness, KIND_SLOWNESS_GAIN);
        let kind_slowness = kind_mean.value;
        // The slowness is relative to the kind of machine. If it were relative to a mean that has since moved, a server
        // without recent responses would look slow or fast.
        let endpoint = self.state.endpoint_mut(id);
        endpoint.log_slowness += SLOWNESS_GAIN * (log_slowness - kind_slowness - endpoint.log_slowness);
        self.state.fleet_log_slowness.add(log_slowness, KIND_SLOWNESS_GAIN);
    }
}
