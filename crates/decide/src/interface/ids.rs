//! Times, and the identifiers of everything that events and actions name.

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
