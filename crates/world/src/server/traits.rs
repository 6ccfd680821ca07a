//! What one server is like: drawn when it is created, and the same until it is gone.

use crate::Time;
use crate::random::RandomStream;
use crate::scenario::{CongestionSpec, ServerKind};

/// What one server is like. Capacities and work are in standard cores and in seconds on a standard core.
#[derive(Clone, Debug)]
pub struct ServerTraits {
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Index of its zone in the scenario.
    pub zone: usize,
    /// How many cores it has.
    pub cores: f64,
    /// The speed of a core relative to a standard one.
    pub speed: f64,
    /// How many requests it executes at once.
    pub slots: usize,
    /// How many further requests may wait.
    pub queue_slots: usize,
    /// The share of its capacity that it has right after its start.
    pub initial_capacity: f64,
    /// How long after its start it has its full capacity.
    pub warm_up: Time,
    /// The slowdown for each request in flight for each core over `crowding_threshold`.
    pub crowding_penalty: f64,
    /// Requests in flight for each core without a slowdown.
    pub crowding_threshold: f64,
    /// The share of requests that fail without any fault.
    pub error_rate: f64,
    /// Whether a waiting request is dropped when its proxy gives it up.
    pub drops_abandoned: bool,
    /// Whether also a request in execution stops when its proxy gives it up.
    pub stops_abandoned: bool,
    /// How it suffers from overload; not at all without it.
    pub congestion: Option<CongestionTraits>,
    /// The most connections that it accepts.
    pub max_connections: u64,
    /// Round trips until a new connection is established.
    pub handshake_round_trips: u64,
    /// Work for a new connection, in seconds on a standard core.
    pub handshake_work: f64,
    /// The share of its capacity that a full table of connections costs.
    pub connection_tax: f64,
    /// How long a connection may be idle before it is closed.
    pub idle_timeout: Time,
    /// The interval at which load reports are renewed.
    pub report_period: Time,
    /// The age at which a report is first shown.
    pub report_delay: Time,
    /// The largest error of a report, as a share of its value.
    pub report_noise: f64,
    /// Work for a probe, in seconds on a standard core.
    pub probe_work: f64,
}

/// When a server collapses under congestion, and when it recovers.
#[derive(Clone, Copy, Debug)]
pub struct CongestionTraits {
    /// It becomes congested with more requests in flight for each core than this,
    pub enter_above: f64,
    /// for this long.
    pub enter_after: Time,
    /// The factor by which it is slower while congested.
    pub slowdown: f64,
    /// It recovers with fewer requests in flight for each core than this,
    pub leave_below: f64,
    /// for this long,
    pub leave_after: Time,
    /// or after this long in any case.
    pub max_duration: Time,
}

impl CongestionTraits {
    fn draw(spec: &CongestionSpec, random: &mut RandomStream) -> Self {
        Self {
            enter_above: random.uniform(spec.enter_above),
            enter_after: random.uniform_time(spec.enter_after),
            slowdown: random.uniform(spec.slowdown),
            leave_below: random.uniform(spec.leave_below),
            leave_after: random.uniform_time(spec.leave_after),
            max_duration: random.uniform_time(spec.max_duration),
        }
    }
}

impl ServerTraits {
    /// Draws a server of this kind, which has index `kind_index` in the scenario. The order of the draws is part of each day's
    /// digest.
    pub fn draw(kind: &ServerKind, kind_index: usize, zone: usize, random: &mut RandomStream) -> Self {
        let congestion = kind.congestion.as_ref().map(|spec| CongestionTraits::draw(spec, random));
        Self {
            kind: kind_index,
            zone,
            cores: kind.cores as f64,
            speed: random.uniform(kind.speed),
            slots: (random.uniform_count(kind.slots_per_core) * kind.cores) as usize,
            queue_slots: (random.uniform_count(kind.queue_per_core) * kind.cores) as usize,
            initial_capacity: random.uniform(kind.initial_capacity.map(|part| part.0)),
            warm_up: random.uniform_time(kind.warm_up),
            crowding_penalty: random.uniform(kind.crowding_penalty.map(|part| part.0)),
            crowding_threshold: random.uniform(kind.crowding_threshold),
            error_rate: random.uniform(kind.error_rate.map(|part| part.0)),
            drops_abandoned: kind.drops_abandoned,
            stops_abandoned: kind.stops_abandoned,
            congestion,
            max_connections: random.uniform_count(kind.connections.max_connections),
            handshake_round_trips: random.uniform_count(kind.connections.handshake_round_trips),
            handshake_work: random.uniform_time(kind.connections.handshake_work).as_seconds(),
            connection_tax: random.uniform(kind.connections.full_table_tax.map(|part| part.0)),
            idle_timeout: kind.connections.idle_timeout,
            report_period: random.uniform_time(kind.reports.period),
            report_delay: random.uniform_time(kind.reports.delay),
            report_noise: random.uniform(kind.reports.noise.map(|part| part.0)),
            probe_work: random.uniform_time(kind.probe_work).as_seconds(),
        }
    }

    /// Its capacity when it is warm and nothing slows it down, in standard cores.
    pub fn full_capacity(&self) -> f64 {
        self.cores * self.speed
    }
}
