//! Faults that tests inject into the decisions.

/// A fault that a test injects into a decision, to show that its checks find it.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A change is rejected by the local state, which no quorum has confirmed.
    RejectFromLocalState,
    /// A control node without quorum contact offers its configuration.
    ServeWithoutQuorum,
    /// A proxy fetches the configuration from a control node that reports no quorum contact.
    FetchWithoutQuorum,
    /// A control node without quorum contact acknowledges a server's shutdown.
    AcknowledgeWithoutQuorum,
    /// A server's shutdown is acknowledged with one replica, however many members may fail.
    AcknowledgeAfterOneReplica,
    /// Quorum contact and replicas of a shutdown are not checked again once one other control node has the entry.
    AcknowledgeRepeatsUnchecked,
    /// All three faults of acknowledgements at once.
    AcknowledgeUnchecked,
}

impl InjectedFault {
    /// Whether this fault is, or includes, another one.
    pub(crate) fn includes(self, other: InjectedFault) -> bool {
        let acknowledgement_faults = [
            InjectedFault::AcknowledgeWithoutQuorum,
            InjectedFault::AcknowledgeAfterOneReplica,
            InjectedFault::AcknowledgeRepeatsUnchecked,
        ];
        self == other
            || self == InjectedFault::AcknowledgeUnchecked && acknowledgement_faults.contains(&other)
    }
}
