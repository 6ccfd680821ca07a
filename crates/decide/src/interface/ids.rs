//! Time and identifier types used by events and actions.

/// A duration or a point in time, in seconds.
pub type Seconds = f64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),+ $(,)?) => {
        $($(#[$doc])* #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
        pub struct $name(pub $inner);)+
    };
}

ids! {
    /// A client's request. Ids are never reused: a client's own retry has a new one.
    RequestId(u64),
    /// A server. The host numbers servers from 0 in the order in which they first appear.
    EndpointId(u32),
    /// A request class: its index in `Settings::classes`.
    ClassId(usize),
    /// A tenant: its index in `Settings::tenants`.
    TenantId(usize),
    /// A zone: its index in the host's table of zones.
    ZoneId(usize),
    /// A kind of machine: its index in the host's table, below `Settings::machine_kinds`.
    MachineKindId(usize),
    /// A deduplication group: servers that discard repeats of a keyed request that any of them has seen.
    GroupId(u64),
    /// The index of an attempt within its request, from 0, in the order in which attempts are sent.
    AttemptNumber(u32),
    /// A timer that the balancer set.
    TimerToken(u64),
}
