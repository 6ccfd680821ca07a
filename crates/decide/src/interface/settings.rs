//! What a balancer is told when it starts: the requests it decides about, and what its host allows.

use super::endpoint_list::ListEntry;
use super::events::Outcome;
use super::ids::{MachineKindId, Seconds, ZoneId};

/// Which servers discard the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those in the zone of the server that first may have run it.
    Zone,
    /// Those in the group of the server that first may have run it.
    Group,
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RepeatEffect {
    /// Harmless: the request may be repeated and refused freely.
    Safe,
    /// Discarded by the servers of `scope` for `window` after the first send that may have run.
    Keyed {
        /// Where repeats are discarded.
        scope: DedupScope,
        /// For how long, counted from the sending of the first attempt that may have run.
        window: Seconds,
    },
    /// Never allowed.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The wanted time: answers within it earn the full worth.
    pub latency_target: Seconds,
    /// How long a client waits in total, over all of its tries.
    pub deadline: Seconds,
    /// What one request is worth.
    pub value: f64,
    /// The fraction of the worth that an answer after the wanted time still earns.
    pub late_value: f64,
    /// What a second execution would do.
    pub repeat_effect: RepeatEffect,
    /// The only kinds of machine that may be sent this class; `None` leaves the kind open.
    pub machine_kinds: Option<Vec<MachineKindId>>,
    /// The only zones that may be sent this class; `None` leaves the zone open.
    pub zones: Option<Vec<ZoneId>>,
}

impl Class {
    /// Whether it may go to some servers only.
    pub fn is_restricted(&self) -> bool {
        self.machine_kinds.is_some() || self.zones.is_some()
    }

    /// Whether a server of this kind in this zone is among those that it may go to.
    pub fn permits(&self, entry: &ListEntry) -> bool {
        self.machine_kinds.as_ref().is_none_or(|kinds| kinds.contains(&entry.kind))
            && self.zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone))
    }
}

/// A tenant's share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its fraction of the service.
    pub share: f64,
}

/// How load reports reach the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// Inside answers and probe results.
    Responses,
    /// Inside probe results only.
    Probes,
    /// Not at all.
    None,
}

/// What the weights of list entries say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The registered size, exact or roughly: it divides the load.
    Size,
    /// Something else, or nothing: not used.
    Unused,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// Changes show up on their own.
    Push,
    /// Only after [`Action::WatchList`].
    Pull,
}

/// What the host allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts can be called off.
    pub can_cancel: bool,
    /// Servers can be probed.
    pub can_probe: bool,
    /// A request may have two attempts out at once.
    pub can_hedge: bool,
    /// The most attempts that one request may have.
    pub max_attempts: u32,
    /// Whether clients of the simulator are told when to come back; on sockets they always are.
    pub can_advise_retry_after: bool,
    /// The longest wait that a client can be advised to keep before it comes back.
    pub max_retry_after: Seconds,
    /// How many attempts one connection carries at once.
    pub streams_per_connection: u32,
    /// The host closes connections that were idle for this long.
    pub idle_timeout: Seconds,
    /// A connection that is not up after this long has failed.
    pub connect_timeout: Seconds,
    /// How many requests may be held at once.
    pub max_pending_requests: usize,
}

/// The figures behind the rules of drains and cold servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A server starts at this fraction of its capacity or higher.
    pub initial_capacity: f64,
    /// It is warm after this long at most.
    pub slow_start: Seconds,
    /// Too much work within this long, from all sidecars together, pushes a cold server over.
    pub overload_window: Seconds,
    /// Too much is more than this many times what the server can do at the moment.
    pub overload_factor: f64,
    /// A sidecar without a subscription that asks for no list for this long is treated as told of changes.
    pub refresh_within: Seconds,
    /// Servers also turn away work that they have begun: [`Outcome::Rejected`] proves nothing.
    pub may_reject_after_start: bool,
}

impl Rules {
    /// Whether an attempt that ended so provably never ran.
    pub fn never_ran(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Rejected => !self.may_reject_after_start,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent),
        }
    }
}

/// What the service is measured by, where it is stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceObjective {
    /// The weight of availability: over short spans, how many tenfold steps the unserved share lies below all.
    pub availability_weight: Option<f64>,
    /// So many such steps count in full.
    pub target_nines: Option<f64>,
    /// The weight of the tail: over short spans, worth in full only while few requests miss their wanted time.
    pub tail_weight: Option<f64>,
    /// The share of misses that the tail allows.
    pub allowed_miss_fraction: Option<f64>,
}

/// What an instance is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone that this sidecar lives in.
    pub zone: ZoneId,
    /// How many sidecars there are, as far as that is known; 1 otherwise.
    pub proxy_count: f64,
    /// How many kinds of machine there are.
    pub machine_kinds: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; there may be none.
    pub tenants: Vec<Tenant>,
    /// What a request past its tenant's share is worth, as a fraction.
    pub over_share_value: f64,
    /// The price of one crossing between zones, in units of a mean request's worth.
    pub cross_zone_cost: f64,
    /// The price of one probe, in the same units.
    pub probe_cost: f64,
    /// The price of one new connection, in the same units.
    pub connection_cost: f64,
    /// The shortest gap between two calls with events.
    pub timer_resolution: Seconds,
    /// How load reports arrive.
    pub reporting: Reporting,
    /// What the weights of list entries say.
    pub weights: Weights,
    /// How the list of servers arrives.
    pub membership: Membership,
    /// What the host allows.
    pub limits: Limits,
    /// The figures behind the rules.
    pub rules: Rules,
    /// What the service is measured by.
    pub objective: ServiceObjective,
}
