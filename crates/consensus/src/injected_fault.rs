//! Faults that tests inject into a node, to verify that their checkers detect them.

/// A fault that a test injects into a node.
#[doc(hidden)]
#[allow(missing_docs)]
#[cfg_attr(not(feature = "fault-injection"), allow(dead_code, unreachable_pub))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// A change is acknowledged once it is durable on the primary alone.
    CommitWithoutBackups,
    /// A node responds to promises, states and configurations before they are synced.
    RespondUnsynced,
    /// A backup accepts writes under a term lower than its promise.
    ForgetPromise,
    /// A take-over chooses the state with the highest revision, regardless of its write term.
    NewestByRevision,
    /// A primary replies to reads without confirmation by a majority.
    ReadUnconfirmed,
    /// A primary replies that a base is stale without confirmation by a majority.
    StaleUnconfirmed,
    /// A backup publishes a state once it is written, before it is committed.
    PublishUncommitted,
    /// Applied requests are not remembered.
    ForgetAppliedRequests,
    /// Client requests get their replies after their callers have timed out and tried another node.
    ReplyLate,
    /// A request that may have been applied and expired since is rejected as stale.
    RejectExpired,
    /// The published revision may decrease.
    PublishOlderState,
    /// A follower confirms its read lease from the arrival of any heartbeat.
    ConfirmReadLeaseOnArrival,
    /// A follower confirms its read lease before it has published the state that the primary has committed.
    ConfirmReadLeaseBeforePublish,
    /// A follower grants pre-votes although it trusts its primary.
    AlwaysGrantPreVotes,
    /// A take-over of a process that was suspended continues with the responses that arrived in the meantime.
    ResumeSuspendedTakeOver,
    /// A follower accepts stamps of other incarnations of its process as its own.
    AcceptStampsOfOtherIncarnations,
    /// A primary whose lease has expired continues to send heartbeats.
    IgnorePrimaryLease,
    /// A membership change needs a majority of the new members only.
    NewMembersOnly,
    /// A machine at the address of a bootstrap voter has its vote even with another disk.
    AnyBootstrapVoter,
    /// A node uses a new term before its promise is durable on its own disk.
    UseUnsyncedTerm,
    /// A primary keeps its role while its disk stalls.
    KeepStalledPrimary,
    /// A backup keeps its role while its disk stalls.
    KeepStalledBackup,
    /// Members are never replaced.
    NeverReplaceMembers,
    /// Client requests get no reply when the primary steps down.
    DropClientRequests,
    /// A node with a full disk reports that it is healthy.
    AlwaysHealthy,
    /// The state is not rewritten under the new term before the configuration is proposed.
    SkipRewriteUnderNewTerm,
    /// Each change sends and writes the complete state instead of a delta, and each state is sent in one message.
    AlwaysSendFullStates,
    /// A phase of a take-over times out while the state that it waits for is being transferred.
    IgnoreTransferProgress,
    /// A delta is applied to any state, even if it does not build on that state.
    ApplyDeltaToAnyState,
    /// A delta is written although the last state in the log may not be the one that it builds on.
    WriteDeltaOnUncertainState,
    /// A member that shuts down does not wait for its removal.
    ShutDownWithoutRemoval,
    /// A departing member keeps its slot until the replacement timeout.
    KeepDepartingMembers,
    /// A silent member keeps its slot for the default replacement timeout, regardless of the join deadline.
    IgnoreJoinDeadline,
    /// The silence of voters that took no part in a take-over, such as the lost primary, is counted from the take-over.
    ForgetSilenceOfMembers,
    /// Newcomers get slots one at a time, each by a take-over of its own.
    OneNewcomerAtATime,
    /// The former identity of a wiped disk counts as a newcomer as long as its last message is recent.
    StaleNewcomer,
}
