//! Settings of a balancer: request classes, costs, and what the host and the servers support.

use super::endpoint_list::ListEntry;
use super::events::Outcome;
use super::ids::{ClassId, MachineKindId, Seconds, ZoneId};

/// The servers that discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers in the zone of the first server that may have run it.
    Zone,
    /// The servers in the deduplication group of the first server that may have run it.
    Group,
}

/// The effect of executing a request a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatEffect {
    /// No further effect: the request may be repeated, and rejected after it may have run.
    Safe,
    /// Servers within `scope` discard repeats during `window`.
    Keyed {
        /// The servers that discard repeats.
        scope: DedupScope,
        /// How long repeats are discarded, from the time at which the first attempt that may have run was sent.
        window: Seconds,
    },
    /// It would take effect again, so it must never be repeated.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Responses within this time earn the full value.
    pub latency_target: Seconds,
    /// How long a client waits in total, over all of its own attempts.
    pub deadline: Seconds,
    /// The value of one request.
    pub value: f64,
    /// The fraction of the value that a response after the latency target earns.
    pub late_value: f64,
    /// The effect of a second execution.
    pub repeat_effect: RepeatEffect,
    /// The only kinds of machine that may run this class; `None` for any.
    pub machine_kinds: Option<Vec<MachineKindId>>,
    /// The only zones that may run this class; `None` for any.
    pub zones: Option<Vec<ZoneId>>,
}

impl Class {
    /// Returns true if only some servers may run this class.
    pub fn is_restricted(&self) -> bool {
        self.machine_kinds.is_some() || self.zones.is_some()
    }

    /// Returns true if the server may run this class.
    pub fn permits(&self, entry: &ListEntry) -> bool {
        self.machine_kinds.as_ref().is_none_or(|kinds| kinds.contains(&entry.kind))
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone))
    }
}

/// A tenant's share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The fraction of all requests that it is entitled to.
    pub share: f64,
}

/// How load reports arrive at the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// In responses and probe results.
    Responses,
    /// In probe results only.
    Probes,
    /// Not at all.
    None,
}

/// The meaning of the weights in list entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The registered size of the server, exact or approximate: its load is divided by it.
    Size,
    /// Not related to size; ignored.
    Unused,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// Changes are pushed to the balancer.
    Push,
    /// Only after [`Action::WatchList`](super::Action::WatchList).
    Pull,
}

/// Features and limits of the host.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Servers can be probed.
    pub can_probe: bool,
    /// A request may be hedged, that is, have two attempts in flight at once.
    pub can_hedge: bool,
    /// The maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Clients can be asked to retry after a given time. Always true for a host that serves HTTP.
    pub can_advise_retry_after: bool,
    /// The longest time that a client can be asked to wait before it retries.
    pub max_retry_after: Seconds,
    /// The number of attempts that one connection carries at once.
    pub streams_per_connection: u32,
    /// The host closes connections that have been idle for this long.
    pub idle_timeout: Seconds,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Seconds,
    /// The maximum number of requests that may be pending at once.
    pub max_pending_requests: usize,
}

/// How servers behave during slow start, draining and rejection.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The fraction of its capacity that a server has at least when it starts.
    pub initial_capacity: f64,
    /// The maximum duration of a server's slow start.
    pub slow_start: Seconds,
    /// A server in slow start is overloaded if all proxies together send it too much work within this time.
    pub overload_window: Seconds,
    /// Too much work for a server in slow start is more than this multiple of what it can do at the moment.
    pub overload_factor: f64,
    /// A proxy without a subscription must ask for the list at least this often to count as up to date.
    pub refresh_within: Seconds,
    /// Servers may also reject requests that they have started to run, so [`Outcome::Rejected`] does not prove that a
    /// request never ran.
    pub may_reject_after_start: bool,
}

impl Rules {
    /// Returns true if the outcome proves that the attempt never ran.
    pub fn never_ran(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Rejected => !self.may_reject_after_start,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent),
        }
    }
}

/// The service level objective; `None` for parts that are not specified.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceObjective {
    /// The weight of availability, measured in nines over short intervals.
    pub availability_weight: Option<f64>,
    /// The number of nines that earns the full weight.
    pub target_nines: Option<f64>,
    /// The weight of tail latency: the fraction of requests that miss their latency target over short intervals.
    pub tail_weight: Option<f64>,
    /// The fraction of requests that may miss their latency target.
    pub allowed_miss_fraction: Option<f64>,
}

/// A class whose definition has changed. The new definition starts with the statistics of the former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRedefinition {
    /// The former definition; pending requests keep it.
    pub former: ClassId,
    /// The new definition.
    pub new: ClassId,
}

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this proxy.
    pub zone: ZoneId,
    /// The number of proxies in the fleet; 1 if it is not known.
    pub proxy_count: f64,
    /// The number of kinds of machine.
    pub machine_kinds: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; there may be none.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request beyond its tenant's share keeps.
    pub over_share_value: f64,
    /// The cost of sending a request to another zone, in units of a mean request's value.
    pub cross_zone_cost: f64,
    /// The cost of one probe, in the same units.
    pub probe_cost: f64,
    /// The cost of one new connection, in the same units.
    pub connection_cost: f64,
    /// The granularity of the host's timers: the shortest time between two calls that deliver events.
    pub timer_resolution: Seconds,
    /// How load reports arrive.
    pub reporting: Reporting,
    /// The meaning of the weights in list entries.
    pub weights: Weights,
    /// How the list of servers arrives.
    pub membership: Membership,
    /// Features and limits of the host.
    pub limits: Limits,
    /// How servers behave during slow start, draining and rejection.
    pub rules: Rules,
    /// The service level objective.
    pub objective: ServiceObjective,
}
