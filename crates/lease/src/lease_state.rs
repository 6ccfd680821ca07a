//! The state of a member's lease, as its host sees it.

/// Reason why a member does not take part in a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InactiveReason {
    /// The host has not made it join, or has made it leave.
    NotJoined,
    /// Operators have not assigned an epoch to the store: it is new, or has lost its state.
    MissingEpoch,
    /// The epoch was assigned to another store: this one was restored from a copy of that store, or replaced
    /// it by mistake. Operators have to assign a higher epoch.
    ForeignStore,
    /// The store has an older state than one that was seen before. Operators have to assign a higher epoch.
    StoreRolledBack,
}

/// The state of a member's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// The member does not take part in the role.
    Inactive(InactiveReason),
    /// The member does not know who holds the role.
    Unknown,
    /// Another member holds the role, or may still act under a lease that the store no longer knows.
    Standby,
    /// The member has asked the store for the role.
    Acquiring,
    /// The member holds the role and may act.
    Holder,
    /// The member acquired the role, but its permit has ended. The lease may have expired, so it must not
    /// act.
    PermitExpired,
}
