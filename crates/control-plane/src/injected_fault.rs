/// A fault that a decision may have in tests, to see that their checkers find it.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A change is refused by the local state, which no majority has confirmed.
    RejectFromLocalState,
    /// The configuration is handed out by a machine that is out of touch.
    ServeWithoutQuorum,
    /// A proxy fetches the configuration from a machine that says that it is out of touch.
    FetchWithoutQuorum,
    /// A leaving server is acknowledged by a machine that is out of touch.
    AcknowledgeWithoutQuorum,
    /// A leaving server is acknowledged when one other machine has its word, however many may be lost.
    AcknowledgeAfterOneReplica,
    /// The contact and copies of a leaving server's word are not looked at again once one other machine has it.
    AcknowledgeRepeatsUnchecked,
    /// All three faults of acknowledgements at once.
    AcknowledgeUnchecked,
}

impl InjectedFault {
    /// Whether this fault is, or holds, another one.
    pub(crate) fn includes(self, other: InjectedFault) -> bool {
        let all = [
            InjectedFault::AcknowledgeWithoutQuorum,
            InjectedFault::AcknowledgeAfterOneReplica,
            InjectedFault::AcknowledgeRepeatsUnchecked,
        ];
        self == other || self == InjectedFault::AcknowledgeUnchecked && all.contains(&other)
    }
}
