/// A fault that a decision may have in tests, to see that their checkers find it.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A change is refused by the local state, which no majority has confirmed.
    RefuseFromLocalState,
    /// The configuration is handed out by a machine that is out of touch.
    ServeOutOfTouch,
    /// A proxy fetches the configuration from a machine that says that it is out of touch.
    FetchOutOfTouch,
    /// A leaving server is acknowledged by a machine that is out of touch.
    AcknowledgeOutOfTouch,
    /// A leaving server is acknowledged when one other machine has its word, however many may be lost.
    AcknowledgeAfterOneCopy,
    /// The contact and copies of a leaving server's word are not looked at again once one other machine has it.
    AcknowledgeRepeats,
    /// All three faults of acknowledgements at once.
    AcknowledgeCarelessly,
}

impl InjectedFault {
    /// Whether this fault is, or holds, another one.
    pub(crate) fn includes(self, other: InjectedFault) -> bool {
        let all = [
            InjectedFault::AcknowledgeOutOfTouch,
            InjectedFault::AcknowledgeAfterOneCopy,
            InjectedFault::AcknowledgeRepeats,
        ];
        self == other || self == InjectedFault::AcknowledgeCarelessly && all.contains(&other)
    }
}
