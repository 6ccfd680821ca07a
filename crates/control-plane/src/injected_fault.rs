//! Faults that tests inject into the decisions. Without the feature `fault-injection` there are none, and the compiler leaves
//! out what depends on one.

/// A fault that a test injects into a decision, to show that its checks find it.
#[allow(missing_docs)]
#[cfg_attr(not(feature = "fault-injection"), allow(dead_code, unreachable_pub))]
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
    #[cfg(feature = "fault-injection")]
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

/// The fault that a test has injected, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Faults {
    #[cfg(feature = "fault-injection")]
    injected: Option<InjectedFault>,
}

impl Faults {
    #[cfg(feature = "fault-injection")]
    pub(crate) fn new(injected: Option<InjectedFault>) -> Faults {
        Faults { injected }
    }

    /// Whether a test has injected this fault.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn include(self, fault: InjectedFault) -> bool {
        self.injected.is_some_and(|injected| injected.includes(fault))
    }

    /// No fault is ever injected.
    #[cfg(not(feature = "fault-injection"))]
    pub(crate) const fn include(self, _: InjectedFault) -> bool {
        false
    }
}
