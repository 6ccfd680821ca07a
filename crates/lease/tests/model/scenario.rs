//! The parameters of a model: its size, its faults and its mutant.

/// How often each kind of fault may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FaultBudget {
    /// Suspensions of a member's process.
    pub(crate) suspensions: u8,
    /// Lost responses of calls, executed or not.
    pub(crate) lost_responses: u8,
    /// Restores of the store to its initial state.
    pub(crate) restores: u8,
    /// Gaps in a member's watch.
    pub(crate) watch_gaps: u8,
    /// Members that leave, and may join again.
    pub(crate) leaves: u8,
}

impl FaultBudget {
    pub(crate) const NONE: FaultBudget =
        FaultBudget { suspensions: 0, lost_responses: 0, restores: 0, watch_gaps: 0, leaves: 0 };
}

/// A fault in the environment of the members. Each mutant must violate a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    None,
    /// The resource that the members act on accepts any token.
    AnyTokenIsAccepted,
    /// The members' clocks stop while they are suspended.
    ClockStopsInSuspension,
    /// A release ends the role of any holder.
    ReleaseEndsAnyLease,
    /// A gap in a watch is not reported.
    WatchGapsAreHidden,
    /// A renewed permit is counted from the response instead of the call.
    PermitCountsFromResponse,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) members: usize,
    /// The time step at which the model ends.
    pub(crate) end_time: u64,
    pub(crate) faults: FaultBudget,
    pub(crate) mutant: Mutant,
}

impl Scenario {
    pub(crate) const WITHOUT_FAULTS: Scenario =
        Scenario { members: 2, end_time: 5, faults: FaultBudget::NONE, mutant: Mutant::None };

    pub(crate) const fn with_faults(faults: FaultBudget) -> Scenario {
        Scenario { faults, ..Scenario::WITHOUT_FAULTS }
    }
}
