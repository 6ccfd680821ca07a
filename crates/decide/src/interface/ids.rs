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
    /// A client's request. Never reused: a client's own retry has a new one.
    RequestId(u64),
    /// A server, numbered from 0 by the host in the order in which it first appeared.
    EndpointId(u32),
    /// A request class: its index in `Settings::classes`.
    ClassId(usize),
    /// A tenant: its index in `Settings::tenants`.
    TenantId(usize),
    /// A zone: its number in the host's table of zones.
    ZoneId(usize),
    /// A kind of machine: its number in the host's table, below `Settings::machine_kinds`.
    MachineKindId(usize),
    /// A group of servers that discards repeats of a keyed request together.
    GroupId(u64),
    /// The number of an attempt within its request: 0, 1, 2 and so on, in the order of the sends.
    AttemptNumber(u32),
    /// A timer that the balancer set.
    TimerToken(u64),
}
