//! The faults that a scenario injects: what goes wrong, when, and whom it affects. In the TOML of a scenario each is a table
//! `[[trouble]]`; the keys that descriptions here name are those of that table.

use serde::Deserialize;

use crate::Time;
use crate::units::{Bytes, Fraction, ValueRange};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum FaultKind {
    /// Servers accept requests and execute none.
    #[serde(rename = "hang")]
    ServerHang,
    /// Servers fail a share (`size`) of the requests at once.
    #[serde(rename = "fast-errors")]
    FastErrors,
    /// Servers hang for `delay`, again and again (`every`).
    #[serde(rename = "stalls")]
    RepeatedHangs,
    /// A share (`size`) of the requests costs a multiple (`times`) of its work.
    #[serde(rename = "heavy")]
    ExpensiveRequests,
    /// Another program takes a share (`size`) of the machine, on and off (`every`).
    #[serde(rename = "neighbour")]
    NoisyNeighbor,
    /// Load reports are shown later (`delay`).
    #[serde(rename = "late-reports")]
    DelayedReports,
    /// Changes enter discovery's list later (`delay`).
    #[serde(rename = "stale-discovery")]
    DelayedDiscovery,
    /// Discovery responds to nobody.
    #[serde(rename = "discovery-down")]
    DiscoveryDown,
    /// Discovery was restored from a backup that is `age` old, and learns nothing while the fault lasts.
    #[serde(rename = "restored")]
    DiscoveryRestored,
    /// Servers are replaced one after the other (`every`): one drains, and a new one starts cold. A server without requests
    /// ends a second later, or after `delay`.
    #[serde(rename = "churn")]
    ServerReplacement,
    /// Processes of servers die, and start again cold after `delay`.
    #[serde(rename = "restart")]
    ServerRestart,
    /// Machines of servers are cut off without notice, and are back when the fault ends.
    #[serde(rename = "silent")]
    SilentServers,
    /// A share (`size`) of the connections of one server is reset, again and again (`every`).
    #[serde(rename = "resets")]
    ConnectionResets,
    /// A share (`size`) of the responses arrives corrupted.
    #[serde(rename = "spoilt")]
    CorruptedResponses,
    /// Discovery moves to another address, and proxies get SIGHUP (on loopback).
    #[serde(rename = "moved")]
    DiscoveryMoved,
    /// Proxies are stopped by SIGTERM, and start again.
    #[serde(rename = "stop")]
    ProxyStop,
    /// Proxies are killed, and start again.
    #[serde(rename = "kill")]
    ProxyKill,
    /// Proxies are suspended (SIGSTOP), and go on when the fault ends as if no time had passed (SIGCONT).
    #[serde(rename = "pause")]
    ProxyPause,
    /// Nothing passes on some links (`way`, `flow`, `to`): open connections are silent, new ones are not established.
    #[serde(rename = "cut")]
    LinkBlocked,
    /// What passes on some links takes longer, by `delay` and up to as much again.
    #[serde(rename = "slow")]
    LinkDelayed,
    /// Only so many `bytes` pass in a second on each connection of some links (on loopback).
    #[serde(rename = "narrow")]
    LinkThrottled,
    /// New connections of some links are established, and nothing is ever read from them (on loopback).
    #[serde(rename = "deaf")]
    LinkUnread,
    /// All connections of some links are reset at once (on loopback).
    #[serde(rename = "snap")]
    LinkReset,
    /// The calls that discovery holds open never finish: their connections stay open, and no response comes.
    #[serde(rename = "mute")]
    DiscoveryCallsSilenced,
    /// The load is a multiple (`times`) of the usual.
    #[serde(rename = "surge")]
    LoadSurge,
}

/// A fault of a scenario. Which of the fields matter depends on its kind; ranges are drawn when it begins.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What goes wrong.
    #[serde(rename = "fault")]
    pub kind: FaultKind,
    /// When it begins, counted from `start_reference`.
    #[serde(rename = "at")]
    pub starts_at: ValueRange<Time>,
    /// How long it lasts.
    #[serde(rename = "length", default = "no_time")]
    pub duration: ValueRange<Time>,
    /// The share of the servers, or of the proxies, that it affects.
    #[serde(rename = "part", default = "all")]
    pub affected_share: ValueRange<Fraction>,
    /// How severe it is, as a share.
    #[serde(rename = "size", default = "all")]
    pub severity: ValueRange<Fraction>,
    /// The multiple that it makes of work or load.
    #[serde(rename = "times", default = "twice")]
    pub factor: ValueRange<f64>,
    /// A delay that it causes.
    #[serde(default = "no_time")]
    pub delay: ValueRange<Time>,
    /// The interval at which it repeats.
    #[serde(rename = "every", default = "one_second")]
    pub interval: ValueRange<Time>,
    /// What `starts_at` counts from.
    #[serde(rename = "after", default)]
    pub start_reference: StartReference,
    /// It affects only proxies, or servers, of this zone.
    pub zone: Option<String>,
    /// The kind of links that a fault of links is about.
    #[serde(rename = "way", default)]
    pub link_kind: LinkKind,
    /// The direction that a fault of links is about.
    #[serde(rename = "flow", default)]
    pub direction: Direction,
    /// A fault of links is about links to servers of this zone alone.
    #[serde(rename = "to")]
    pub target_zone: Option<String>,
    /// What passes on a throttled link in a second.
    #[serde(rename = "bytes", default = "no_bytes")]
    pub bytes_per_second: ValueRange<Bytes>,
    /// The saved list that a proxy finds which is started again.
    #[serde(rename = "list", default)]
    pub saved_list: SavedList,
    /// The age of that list, or of discovery's backup.
    #[serde(rename = "age", default = "no_time")]
    pub state_age: ValueRange<Time>,
    /// The condition of the stored state that it finds, where proxies have some (on loopback).
    #[serde(rename = "folder", default)]
    pub stored_state: StoredStateCondition,
}

/// What the start of a fault counts from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum StartReference {
    /// The start of the day.
    #[default]
    #[serde(rename = "begin")]
    DayStart,
    /// The instant from which all proxies are up again, once the fault before this one has begun.
    #[serde(rename = "up")]
    AllProxiesUp,
}

/// A kind of link between a proxy and others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
pub enum LinkKind {
    /// Each kind; only in a fault.
    #[default]
    #[serde(rename = "all")]
    All,
    /// To discovery.
    #[serde(rename = "list")]
    Discovery,
    /// To servers.
    #[serde(rename = "nodes")]
    Server,
    /// From operators to the proxy's admin endpoint.
    #[serde(rename = "door")]
    Admin,
}

impl LinkKind {
    /// Whether a link of this kind is among those that a fault names.
    pub fn is_among(self, named: LinkKind) -> bool {
        named == LinkKind::All || named == self
    }
}

/// A direction on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
pub enum Direction {
    /// Both directions; only in a fault.
    #[default]
    #[serde(rename = "both")]
    Both,
    /// What the proxy sends.
    #[serde(rename = "to")]
    FromProxy,
    /// What is sent to the proxy.
    #[serde(rename = "back")]
    ToProxy,
}

impl Direction {
    /// Whether this direction is among those that a fault names.
    pub fn is_among(self, named: Direction) -> bool {
        named == Direction::Both || named == self
    }
}

/// The list that a proxy finds in its configuration when it starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum SavedList {
    /// The list of [`FaultSpec::state_age`] ago.
    #[default]
    #[serde(rename = "kept")]
    Kept,
    /// None at all.
    #[serde(rename = "lost")]
    Missing,
    /// The list of [`FaultSpec::state_age`] ago, under a version that discovery has not reached.
    #[serde(rename = "ahead")]
    AheadOfDiscovery,
}

/// The condition of the folder for stored state that a proxy finds when it starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub enum StoredStateCondition {
    /// As its former process left it.
    #[default]
    #[serde(rename = "kept")]
    Kept,
    /// It is empty.
    #[serde(rename = "lost")]
    Empty,
    /// Its files are cut short.
    #[serde(rename = "cut")]
    Truncated,
    /// A bit of its files was flipped.
    #[serde(rename = "flipped")]
    BitFlipped,
    /// It is as it was early on the day.
    #[serde(rename = "older")]
    Outdated,
    /// It is that of another proxy.
    #[serde(rename = "foreign")]
    OfAnotherProxy,
    /// It was written an hour from now: the clock went back.
    #[serde(rename = "future")]
    FromTheFuture,
    /// Nothing more can be written: the disk is full.
    #[serde(rename = "full")]
    DiskFull,
    /// Nothing more can be written: a directory is in the place of the file.
    #[serde(rename = "stuck")]
    Unwritable,
}

impl StoredStateCondition {
    /// Its name in a scenario.
    pub fn scenario_name(self) -> &'static str {
        match self {
            StoredStateCondition::Kept => "kept",
            StoredStateCondition::Empty => "lost",
            StoredStateCondition::Truncated => "cut",
            StoredStateCondition::BitFlipped => "flipped",
            StoredStateCondition::Outdated => "older",
            StoredStateCondition::OfAnotherProxy => "foreign",
            StoredStateCondition::FromTheFuture => "future",
            StoredStateCondition::DiskFull => "full",
            StoredStateCondition::Unwritable => "stuck",
        }
    }
}

fn all() -> ValueRange<Fraction> {
    ValueRange::single(Fraction(1.0))
}

fn twice() -> ValueRange<f64> {
    ValueRange::single(2.0)
}

fn no_time() -> ValueRange<Time> {
    ValueRange::single(Time::ZERO)
}

fn no_bytes() -> ValueRange<Bytes> {
    ValueRange::single(Bytes(0))
}

fn one_second() -> ValueRange<Time> {
    ValueRange::single(Time::from_millis(1000))
}
