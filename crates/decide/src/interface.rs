//! The module's interface: the settings it starts from, the events it is told and the actions it answers with.
//!
//! Nothing here decides anything. All times are seconds; instants are read on the host's own monotonic clock,
//! which may start anywhere and only moves forward.

use thiserror::Error;

/// A span of time or an instant, in seconds.
pub type Seconds = f64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),+ $(,)?) => {
        $($(#[$doc])* #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(pub $inner);)+
    };
}

ids! {
    /// A client's request. Never reused: a client's own retry carries a new one.
    RequestId(u64),
    /// A server, numbered from 0 by the host in the order in which this sidecar first heard of it.
    EndpointId(u32),
    /// A request class: its place in [`Settings::classes`].
    ClassId(usize),
    /// A tenant: its place in [`Settings::tenants`].
    TenantId(usize),
    /// A zone: its place in the host's table of zones.
    ZoneId(usize),
    /// A kind of machine: its place in the host's table, below [`Settings::machine_kinds`].
    MachineKindId(usize),
    /// A group of servers that discards repeats of a keyed request together.
    GroupId(u64),
    /// The number of an attempt within its request: 0, 1, 2 and so on, in the order of the sends.
    AttemptNumber(u32),
    /// A timer that the balancer set.
    TimerToken(u64),
}

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

/// Why settings were turned down: the value's name, the value, and what it must be.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("setting {name} is {value}: it must be {must}")]
pub struct SettingsError {
    /// The name of the setting, as in [`Settings`].
    pub name: &'static str,
    /// The value found.
    pub value: f64,
    /// What it must be.
    pub must: &'static str,
}

impl Settings {
    /// Checks every figure that the decisions divide by, count with or compare.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut figures = vec![
            ("classes", self.classes.len() as f64, !self.classes.is_empty(), "at least one class"),
            (
                "limits.max_attempts",
                f64::from(self.limits.max_attempts),
                self.limits.max_attempts >= 1,
                "at least 1",
            ),
            (
                "rules.cold_from",
                self.rules.initial_capacity,
                (0.0..=1.0).contains(&self.rules.initial_capacity),
                "from 0 to 1",
            ),
        ];
        let ServiceObjective { availability_weight, target_nines, tail_weight, allowed_miss_fraction } =
            self.objective;
        let mut positive = |name, value: f64| {
            figures.push((name, value, value.is_finite() && value > 0.0, "finite and above 0"));
        };
        positive("tick", self.timer_resolution);
        positive("limits.keepalive", self.limits.idle_timeout);
        positive("limits.connect_timeout", self.limits.connect_timeout);
        target_nines.into_iter().for_each(|value| positive("goal.nines_wanted", value));
        positive("limits.streams", f64::from(self.limits.streams_per_connection));
        positive("rules.fall", self.rules.overload_window);
        positive("rules.fall_multiple", self.rules.overload_factor);
        positive("rules.ask_within", self.rules.refresh_within);
        for class in &self.classes {
            positive("classes.target", class.latency_target);
            positive("classes.deadline", class.deadline);
        }
        let mut not_negative = |name, value: f64| {
            figures.push((name, value, value.is_finite() && value >= 0.0, "finite and not below 0"));
        };
        not_negative("fleet", self.proxy_count);
        not_negative("limits.max_retry_after", self.limits.max_retry_after);
        not_negative("rules.warm_up", self.rules.slow_start);
        not_negative("cross_zone_price", self.cross_zone_cost);
        not_negative("probe_price", self.probe_cost);
        not_negative("connection_price", self.connection_cost);
        not_negative("over_share_worth", self.over_share_value);
        for class in &self.classes {
            not_negative("classes.worth", class.value);
            not_negative("classes.late_worth", class.late_value);
            if let RepeatEffect::Keyed { window, .. } = class.repeat_effect {
                not_negative("classes.window", window);
            }
        }
        for tenant in &self.tenants {
            not_negative("tenants.share", tenant.share);
        }
        availability_weight.into_iter().for_each(|value| not_negative("goal.availability", value));
        tail_weight.into_iter().for_each(|value| not_negative("goal.tail_part", value));
        let slack = |value| ("goal.tail_slack", value, (0.0..=1.0).contains(&value), "from 0 to 1");
        figures.extend(allowed_miss_fraction.map(slack));
        for class in &self.classes {
            let counts = [
                ("classes.runs_on", class.machine_kinds.as_ref().map(Vec::len)),
                ("classes.runs_in", class.zones.as_ref().map(Vec::len)),
            ];
            for (name, count) in counts {
                figures.extend(count.map(|count| (name, count as f64, count > 0, "absent or at least one")));
            }
        }
        match figures.into_iter().find(|figure| !figure.2) {
            Some((name, value, _, must)) => Err(SettingsError { name, value, must }),
            None => Ok(()),
        }
    }
}

/// The state of a server as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Readiness {
    /// Its process runs; nothing is said of how well it serves.
    Ready,
    /// It wraps up its work: nothing new may be sent.
    Draining,
    /// It has been removed.
    Removed,
}

/// One line of the list of servers.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListEntry {
    /// Which server.
    pub endpoint: EndpointId,
    /// Its state.
    pub readiness: Readiness,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: MachineKindId,
    /// The group whose members discard the repeats of keyed requests together.
    pub group: GroupId,
    /// See [`Settings::weights`].
    pub weight: f64,
    /// When its process last started; `None` means long ago.
    pub started_at: Option<Seconds>,
}

/// What the list of servers has to say.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ListUpdate {
    /// Only the entries that changed.
    Changes(Vec<ListEntry>),
    /// The entire list: a server that is not in it is gone.
    Full(Vec<ListEntry>),
    /// The entire list as it was last seen before a restart; it may be old.
    Saved(Vec<ListEntry>),
    /// A call for the list failed, or the subscription dropped; the old list still holds.
    Failed,
}

/// A server's own report of its load; `None` where a figure was not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct LoadReport {
    /// Requests it holds, waiting ones included.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Outcome {
    /// It was served.
    Served,
    /// The server answered with an error; it may have run.
    Errored,
    /// Turned away; it never ran, unless [`Rules::may_reject_after_start`] says that this proves nothing.
    Rejected,
    /// No answer came in time; it may have run.
    TimedOut,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// It was called off; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// A client's request, as the balancer takes it on.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// How long until the client gives up on this try.
    pub time_left: Seconds,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
}

/// Something that the balancer is told.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// News of the list of servers.
    ListUpdated(ListUpdate),
    /// A client's request; one final answer is now owed.
    RequestReceived(Request),
    /// A request whose body still comes: it may be sent on, and its time counts from [`Event::BodyReceived`].
    HeadReceived(Request),
    /// The last byte of such a request has come.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// How long until the client gives up on it.
        time_left: Seconds,
    },
    /// An attempt ended. There is exactly one of these for each send.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The server it went to.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it was out.
        rtt: Seconds,
        /// The request has its final answer and needs no further one.
        settled: bool,
        /// The load report that came along.
        report: LoadReport,
    },
    /// A streamed answer has started: the attempt now belongs to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A probe came back.
    ProbeEnded {
        /// The server.
        endpoint: EndpointId,
        /// What the probe found.
        outcome: Outcome,
        /// How long it was out.
        rtt: Seconds,
        /// The load report that came along.
        report: LoadReport,
    },
    /// The client walked away; nothing more is owed.
    RequestWithdrawn {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    TimerFired(TimerToken),
}

/// Something that the balancer wants done.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Send an attempt: a first try, a retry or a second copy.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        endpoint: EndpointId,
        /// The instant at which the attempt is given up.
        deadline: Seconds,
    },
    /// Final answer: turned away, and a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client ought to wait before it comes back.
        retry_after: Seconds,
    },
    /// Final answer: failed, with no promise about whether it took effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Probe a server.
    Probe {
        /// The server.
        endpoint: EndpointId,
    },
    /// Close the idle connections to a server, so that the next send opens a new one.
    CloseIdleConnections {
        /// The server.
        endpoint: EndpointId,
    },
    /// Ask for a subscription to the list of servers.
    WatchList,
    /// Ask for one [`Event::TimerFired`].
    SetTimer {
        /// How far from now.
        delay: Seconds,
        /// Given back by the event.
        token: TimerToken,
    },
}
