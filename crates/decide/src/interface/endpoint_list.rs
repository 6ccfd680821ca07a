//! The list of servers that the balancer receives from service discovery.

use super::ids::{EndpointId, GroupId, MachineKindId, Seconds, ZoneId};

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Readiness {
    /// Its process is running; it may still be unhealthy.
    Ready,
    /// It is finishing its current requests: no new ones may be sent to it.
    Draining,
    /// It has been removed.
    Removed,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListEntry {
    /// The server.
    pub endpoint: EndpointId,
    /// Its state.
    pub readiness: Readiness,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: MachineKindId,
    /// Its deduplication group: members discard repeats of keyed requests that any of them has seen.
    pub group: GroupId,
    /// See [`Settings::weights`](super::Settings::weights).
    pub weight: f64,
    /// When its process last started; `None` if that was long ago.
    pub started_at: Option<Seconds>,
}

/// An update of the list of servers.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ListUpdate {
    /// The entries that changed; all others stay as they are.
    Changes(Vec<ListEntry>),
    /// The full list: servers that are missing from it are removed.
    Full(Vec<ListEntry>),
    /// The full list saved before a restart of the proxy; it may be out of date.
    Saved(Vec<ListEntry>),
    /// A call for the list failed, or the subscription ended; the last list stays in use.
    Failed,
}
