//! A member's part in a role, for its host to show and to act by.

/// Why a member takes no part in a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InactiveReason {
    /// The host has not let it join, or has had it leave.
    NotJoined,
    /// Operators have given the store no epoch: it is new, or has lost its state.
    MissingEpoch,
    /// The epoch was given to another store: this one was restored from a copy of that one, or took its place by mistake.
    /// Operators have to give it a higher epoch.
    ForeignStore,
    /// The store is at an older state than one that was seen before. Operators have to give it a higher epoch.
    StoreRolledBack,
}

/// A member's part in a role, as its host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// It takes no part.
    Inactive(InactiveReason),
    /// It does not know who holds the role.
    Unknown,
    /// Another member holds the role, or may still act under a lease that the store no longer knows.
    Standby,
    /// It has asked the store for the role.
    Acquiring,
    /// It holds the role, and may act.
    Holder,
    /// It acquired the role and its permit has ended: the lease may have run out, and it must not act.
    PermitExpired,
}
