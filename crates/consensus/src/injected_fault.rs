//! Faults that tests build into a node, to see that their checkers find them.

/// A fault that a node may have in tests.
#[doc(hidden)]
#[allow(missing_docs)]
#[cfg_attr(not(feature = "fault-injection"), allow(dead_code, unreachable_pub))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// A change is acknowledged when it is on the primary's disk.
    CommitWithoutBackups,
    /// Promises, states and configurations are answered before they are synced.
    RespondUnsynced,
    /// A backup takes writes of a term below its promise.
    ForgetPromise,
    /// A take-over takes the highest revision, whatever its write term.
    NewestByRevision,
    /// A primary answers reads without the confirmation of a majority.
    ReadUnconfirmed,
    /// A primary answers that a base is stale without the confirmation of a majority.
    StaleUnconfirmed,
    /// A backup publishes what it has written.
    PublishUncommitted,
    /// Applied requests are not remembered.
    ForgetAppliedRequests,
    /// Client requests are answered long after their callers have turned to another node.
    ReplyLate,
    /// A request that can't be distinguished from an expired one is rejected.
    RejectExpired,
    /// The published revision may go back.
    PublishOlderState,
    /// A follower claims contact from the moment at which any heartbeat arrives.
    ConfirmReadLeaseOnArrival,
    /// A follower claims contact before it publishes what the primary has committed.
    ConfirmReadLeaseBeforePublish,
    /// A follower that trusts its primary grants pre-votes.
    AlwaysGrantPreVotes,
    /// A take-over that was suspended goes on with the responses that arrived meanwhile.
    ResumeSuspendedTakeOver,
    /// A follower takes stamps of other runs of its process for its own.
    AcceptStampsOfOtherIncarnations,
    /// A primary without contact to a majority goes on sending heartbeats.
    IgnorePrimaryLease,
    /// Only the new members decide on a change of members.
    NewMembersOnly,
    /// A machine at a bootstrap voter's address votes as one, also with another disk.
    AnyBootstrapVoter,
    /// A term is used before it is on the own disk.
    UseUnsyncedTerm,
    /// A primary keeps its role when its disk stalls.
    KeepStalledPrimary,
    /// A backup keeps its role when its disk stalls.
    KeepStalledBackup,
    /// Members are never replaced.
    NeverReplaceMembers,
    /// Client requests are forgotten when the primary steps down.
    DropClientRequests,
    /// A node with a full disk reports that it is healthy.
    AlwaysHealthy,
    /// The state is not rewritten under the new term before the configuration is proposed.
    SkipRewriteUnderNewTerm,
    /// Every change sends and writes the complete state, and every state goes in one message.
    AlwaysSendFullStates,
    /// A phase of a take-over ends though a state that it waits for is being transferred.
    IgnoreTransferProgress,
    /// A delta is applied to any state.
    ApplyDeltaToAnyState,
    /// A delta is written though the log may have another state before it.
    WriteDeltaOnUncertainState,
    /// A member that shuts down does not wait for its removal.
    ShutDownWithoutRemoval,
    /// A departing member keeps its slot until it was silent for long.
    KeepDepartingMembers,
    /// A silent member keeps its slot for the default replacement timeout, whatever the join deadline is.
    IgnoreJoinDeadline,
    /// The silence of a lost primary counts from the take-over.
    ForgetSilenceOfMembers,
    /// Newcomers get slots one after the other, each by a take-over.
    OneNewcomerAtATime,
    /// A disk that was wiped counts as a newcomer while its last message is recent.
    StaleNewcomer,
}
