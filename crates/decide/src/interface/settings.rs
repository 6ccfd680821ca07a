//! What a balancer starts with: the requests it decides about, and what its host allows.

use super::endpoint_list::ListEntry;
use super::events::Outcome;
use super::ids::{ClassId, MachineKindId, Seconds, ZoneId};

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
    /// None: the request may be repeated and rejected freely.
    Safe,
    /// Discarded by the servers of `scope` for `window` after the first send that may have run.
    Keyed {
        /// Where repeats are discarded.
        scope: DedupScope,
        /// For how long, counted from the sending of the first attempt that may have run.
        window: Seconds,
    },
    /// A second effect, which is never allowed.
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency target: responses within it earn the full value.
    pub latency_target: Seconds,
    /// How long a client waits in total, over all of its attempts.
    pub deadline: Seconds,
    /// The value of one request.
    pub value: f64,
    /// The fraction of the value that a response after the latency target still earns.
    pub late_value: f64,
    /// What a second execution would do.
    pub repeat_effect: RepeatEffect,
    /// The only kinds of machine that may run this class; `None` for any.
    pub machine_kinds: Option<Vec<MachineKindId>>,
    /// The only zones that may run this class; `None` for any.
    pub zones: Option<Vec<ZoneId>>,
}

impl Class {
    /// Whether only some servers may run it.
    pub fn is_restricted(&self) -> bool {
        self.machine_kinds.is_some() || self.zones.is_some()
    }

    /// Whether this server may run it.
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
    /// In responses and probe results.
    Responses,
    /// In probe results only.
    Probes,
    /// Not at all.
    None,
}

/// What the weights of list entries mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The registered size, exactly or roughly: loads are divided by it.
    Size,
    /// Something else, or nothing: not used.
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

/// What the host allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Servers can be probed.
    pub can_probe: bool,
    /// A request may be hedged: have two attempts in flight at once.
    pub can_hedge: bool,
    /// The most attempts that one request may have.
    pub max_attempts: u32,
    /// Clients can be asked to retry after a time; on sockets they always can.
    pub can_advise_retry_after: bool,
    /// The longest wait before a retry that a client can be asked for.
    pub max_retry_after: Seconds,
    /// How many attempts one connection carries at once.
    pub streams_per_connection: u32,
    /// The host closes connections that were idle for this long.
    pub idle_timeout: Seconds,
    /// A connection that is not up after this long has failed.
    pub connect_timeout: Seconds,
    /// How many requests may be pending at once.
    pub max_pending_requests: usize,
}

/// The numbers behind the rules for slow start and draining.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A server starts with at least this fraction of its capacity.
    pub initial_capacity: f64,
    /// Its slow start takes so long at most.
    pub slow_start: Seconds,
    /// Too much work within this time, from all proxies together, overloads a server in slow start.
    pub overload_window: Seconds,
    /// Too much is more than so many times what the server can do at the moment.
    pub overload_factor: f64,
    /// A proxy without a subscription counts as informed of changes only if it asks for the list within this time.
    pub refresh_within: Seconds,
    /// Servers also reject work that they have begun: [`Outcome::Rejected`] proves nothing.
    pub may_reject_after_start: bool,
}

impl Rules {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Rejected => !self.may_reject_after_start,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent),
        }
    }
}

/// The service level objective, as far as it is stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceObjective {
    /// The weight of availability, counted in nines over short spans.
    pub availability_weight: Option<f64>,
    /// So many nines count in full.
    pub target_nines: Option<f64>,
    /// The weight of tail latency: over short spans, few requests may miss their latency target.
    pub tail_weight: Option<f64>,
    /// The fraction of requests that may miss it.
    pub allowed_miss_fraction: Option<f64>,
}

/// A class that is defined anew: requests of the new definition inherit what was learned of the former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassRedefinition {
    /// The former definition, which requests in flight keep.
    pub former: ClassId,
    /// The new definition.
    pub new: ClassId,
}

/// What a balancer starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this proxy.
    pub zone: ZoneId,
    /// How many proxies there are, as far as that is known; 1 otherwise.
    pub proxy_count: f64,
    /// How many kinds of machine there are.
    pub machine_kinds: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; there may be none.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request beyond its tenant's share still has.
    pub over_share_value: f64,
    /// The cost of one crossing between zones, in units of a mean request's value.
    pub cross_zone_cost: f64,
    /// The cost of one probe, in the same units.
    pub probe_cost: f64,
    /// The cost of one new connection, in the same units.
    pub connection_cost: f64,
    /// The shortest gap between two calls with events.
    pub timer_resolution: Seconds,
    /// How load reports arrive.
    pub reporting: Reporting,
    /// What the weights of list entries mean.
    pub weights: Weights,
    /// How the list of servers arrives.
    pub membership: Membership,
    /// What the host allows.
    pub limits: Limits,
    /// The numbers behind the rules for slow start and draining.
    pub rules: Rules,
    /// The service level objective.
    pub objective: ServiceObjective,
}
