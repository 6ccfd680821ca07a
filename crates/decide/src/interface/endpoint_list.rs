//! The list of servers, as membership gives it to the balancer.

use super::ids::{EndpointId, GroupId, MachineKindId, Seconds, ZoneId};

/// The state of a server by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Readiness {
    /// Its process runs; this says nothing of its health.
    Ready,
    /// It finishes its work: nothing new may be sent.
    Draining,
    /// It has been removed.
    Removed,
}

/// One entry of the list of servers.
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
    /// See [`Settings::weights`](super::Settings::weights).
    pub weight: f64,
    /// When its process last started; `None` means long ago.
    pub started_at: Option<Seconds>,
}

/// An update of the list of servers.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum ListUpdate {
    /// Only the entries that changed.
    Changes(Vec<ListEntry>),
    /// The full list: a server that is not on it is removed.
    Full(Vec<ListEntry>),
    /// The full list as it was known before a restart; it may be old.
    Saved(Vec<ListEntry>),
    /// A call for the list failed, or the subscription ended; the old list still holds.
    Failed,
}
