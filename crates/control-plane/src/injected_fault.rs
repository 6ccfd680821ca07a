//! Faults that tests inject into the decisions. Without the feature `fault-injection` there are none, and the
//! compiler removes the code that depends on them.

/// A fault that a test injects into a decision, to show that the test's checks detect it.
#[allow(missing_docs)]
#[cfg_attr(not(feature = "fault-injection"), allow(dead_code, unreachable_pub))]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A change is rejected on the basis of the local state, which no quorum has confirmed.
    RejectFromLocalState,
    /// A control node without quorum contact serves its configuration.
    ServeWithoutQuorum,
    /// A proxy fetches the configuration from a control node that reports no quorum contact.
    FetchWithoutQuorum,
    /// A control node without quorum contact acknowledges a server's shutdown.
    AcknowledgeWithoutQuorum,
    /// A server's shutdown is acknowledged once two members have stored it, however many may fail.
    AcknowledgeAfterTwoReplicas,
    /// A repeated shutdown call is acknowledged without checking quorum contact and replicas once one other
    /// control node has the entry.
    AcknowledgeRepeatsUnchecked,
    /// All three faults of acknowledgements together.
    AcknowledgeUnchecked,
}

impl InjectedFault {
    /// Returns true if this fault is the other one or includes it.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn includes(self, other: InjectedFault) -> bool {
        let acknowledgement_faults = [
            InjectedFault::AcknowledgeWithoutQuorum,
            InjectedFault::AcknowledgeAfterTwoReplicas,
            InjectedFault::AcknowledgeRepeatsUnchecked,
        ];
        self == other
            || self == InjectedFault::AcknowledgeUnchecked && acknowledgement_faults.contains(&other)
    }
}

/// The injected fault, if any.
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

    /// Returns true if a test has injected this fault.
    #[cfg(feature = "fault-injection")]
    pub(crate) fn is_injected(self, fault: InjectedFault) -> bool {
        self.injected.is_some_and(|injected| injected.includes(fault))
    }

    #[cfg(not(feature = "fault-injection"))]
    pub(crate) const fn is_injected(self, _: InjectedFault) -> bool {
        false
    }
}
