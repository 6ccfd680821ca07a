//! The parameters of a model: its size, the faults that may happen, and a mutant.

/// How often each fault may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FaultBudget {
    /// Suspensions of a member's process.
    pub(crate) suspensions: u8,
    /// Responses that are lost, whether or not the call was executed.
    pub(crate) lost_responses: u8,
    /// Restores of the store to its state at the beginning.
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

/// What the world does wrong on purpose: each mutant has to violate a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    None,
    /// The resource that the members act upon accepts any token.
    AnyTokenIsAccepted,
    /// The members' clocks stand still while they are suspended.
    ClockStopsInSuspension,
    /// A release takes the role from whoever has it.
    ReleaseEndsAnyLease,
    /// A gap in a watch is not reported.
    WatchGapsAreHidden,
    /// A renewed permit is counted from the response, not from the call.
    PermitCountsFromResponse,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) members: usize,
    /// The time, in steps, at which it ends.
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
