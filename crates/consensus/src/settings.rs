use core::net::SocketAddrV4;

use crate::snapshot_transfer::ChunkSizes;

/// Records that name more members are not taken.
pub(crate) const MOST_MEMBERS: usize = 32;
/// More failures than this are not provided for.
pub(crate) const MOST_FAILURES: usize = 8;

/// Callers go elsewhere after so many milliseconds of silence.
const CALLER_PATIENCE: u64 = 1_000;
/// Of these, for the way there and back and for the time from one tick to the next.
const CALLER_MARGIN: u64 = 150;

/// Spans in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Timings {
    /// From one sign of life of the primary to the next.
    pub heartbeat_interval: u64,
    /// A primary that was not heard for so long may be replaced.
    pub suspicion_timeout: u64,
    /// A primary that did not hear a majority for so long steps down.
    pub lease: u64,
    /// A member that was not heard for so long gives its place to a newcomer.
    pub replacement_timeout: u64,
    /// A backup that has not written a change for so long is replaced.
    pub backup_write_timeout: u64,
    /// A primary whose own write takes so long gives up its place.
    pub local_write_timeout: u64,
    /// A node whose write takes so long is unfit.
    pub unhealthy_write_timeout: u64,
    /// A node whose write failed tries its disk again after so long.
    pub disk_retry_interval: u64,
    /// An ask that waited so long is answered as unavailable, while its caller still listens.
    pub request_timeout: u64,
    /// A step of a take-over that takes so long ends it.
    pub take_over_step_timeout: u64,
    /// What was lost on the way is sent again after so long.
    pub resend_interval: u64,
    /// The same, for what may be as big as a state.
    pub state_resend_interval: u64,
    /// Founders wait so long to know each other, all of them.
    pub bootstrap_timeout: u64,
}

/// A machine ends so long at most after the one that replaces it has started.
const LATE_END: u64 = 1_000;
/// A change of members by two take-overs, and the copy of the state to the new backups, are done within so long.
const CHANGE_OF_MEMBERS: u64 = 1_000;

impl Timings {
    /// The usual spans, with newcomers that are members, and the state copied, `sync` after their start. What is left of
    /// that span is the silence after which a member loses its place: not less than what makes it suspected, not more than
    /// usual.
    pub fn for_sync(sync: u64) -> Timings {
        let usual = Timings::default();
        let replace_after = sync.saturating_sub(LATE_END + CHANGE_OF_MEMBERS);
        Timings {
            replacement_timeout: replace_after.clamp(usual.suspicion_timeout, usual.replacement_timeout),
            ..usual
        }
    }
}

impl Default for Timings {
    fn default() -> Timings {
        Timings {
            heartbeat_interval: 100,
            suspicion_timeout: 600,
            lease: 600,
            replacement_timeout: 2_500,
            backup_write_timeout: 400,
            local_write_timeout: 700,
            unhealthy_write_timeout: 400,
            disk_retry_interval: 500,
            request_timeout: CALLER_PATIENCE - CALLER_MARGIN,
            take_over_step_timeout: 500,
            resend_interval: 100,
            state_resend_interval: 250,
            bootstrap_timeout: 1_500,
        }
    }
}

/// What a node is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The internal address of this machine.
    pub address: SocketAddrV4,
    /// How many disks may be lost at a time; the backups are as many.
    pub max_failures: usize,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// The internal addresses of the seeds. With `bootstrap` and an empty disk, these are the bootstrap voters.
    pub seeds: Vec<SocketAddrV4>,
    /// All spans.
    pub timings: Timings,
    /// The log is rewritten when the records since the last time are longer than this.
    pub log_rewrite_bytes: usize,
    /// From which length on states go in pieces, and how long those are.
    pub chunk_sizes: ChunkSizes,
    /// A fault built in, to see that the checkers of the tests find it.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl Settings {
    /// The usual settings.
    pub fn new(
        address: SocketAddrV4,
        failures: usize,
        bootstrap: bool,
        seeds: Vec<SocketAddrV4>,
    ) -> Settings {
        let rewrite_bytes = 4 << 20;
        Settings {
            address,
            max_failures: failures,
            bootstrap,
            seeds,
            timings: Timings::default(),
            log_rewrite_bytes: rewrite_bytes,
            chunk_sizes: ChunkSizes::default(),
            injected_fault: None,
        }
    }

    pub(crate) fn has(&self, injected_fault: InjectedFault) -> bool {
        self.injected_fault == Some(injected_fault)
    }
}

/// A fault that a node may have in tests.
#[doc(hidden)]
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// A change is acknowledged when it is on the primary's disk.
    CommitAlone,
    /// Promises, states and records are answered before they are synced.
    RespondUnsynced,
    /// A backup takes writes of a term below its promise.
    ForgetPromise,
    /// A take-over takes the highest revision, whatever its stamp.
    NewestByRevision,
    /// A primary answers reads without a majority's word.
    ReadUnconfirmed,
    /// A primary answers that a base is stale without a majority's word.
    StaleUnconfirmed,
    /// A backup shows what it has written.
    PublishUncommitted,
    /// The calls that were taken aren't remembered.
    ForgetAppliedRequests,
    /// Client requests are answered when their callers have long gone elsewhere.
    ReplyLate,
    /// A call that can't be told from a forgotten one is refused.
    RejectExpired,
    /// What is shown may go back.
    PublishOlderState,
    /// A follower is in touch from the moment at which any heartbeat arrives.
    ContactByArrival,
    /// A follower is in touch before it shows what the primary has committed.
    ContactWithoutState,
    /// A follower that hears its primary would promise another one.
    AlwaysWilling,
    /// A take-over that was frozen goes on with the answers that came meanwhile.
    LateTakeOver,
    /// A follower takes stamps of other runs of its process for its own.
    ContactOfOtherIncarnations,
    /// A primary without contact to a majority goes on telling that it lives.
    NoLease,
    /// Only the new members decide on a change of members.
    NewMembersOnly,
    /// A machine at a bootstrap voter's address votes as one, also with another disk.
    AnyBootstrapVoter,
    /// A term is used before it is on the own disk.
    TermUnsynced,
    /// A primary keeps its place when its disk stalls.
    KeepStalledPrimary,
    /// A backup keeps its place when its disk stalls.
    KeepStalledBackup,
    /// Members are never replaced.
    KeepMembers,
    /// Client requests are forgotten when the primary steps down.
    DropClientRequests,
    /// A node with a full disk says that it is fit.
    AlwaysHealthy,
    /// The state is not stamped before the record is proposed.
    SkipRewriteUnderNewTerm,
    /// Every change sends and writes the whole state, and every state goes in one message.
    WholeStates,
    /// A step of a take-over ends though a state that it waits for is on its way.
    IgnoreTransferProgress,
    /// A change is applied to whatever state is there.
    ApplyDeltaToAnyState,
    /// A change is written though the state before it may not stand before it in the log.
    WriteDeltaOnUncertainState,
    /// A member that stops just ends.
    ShutDownAtOnce,
    /// A member that has told that it stops keeps its place until it was silent for long.
    KeepDepartingMembers,
    /// A silent member keeps its place for as long as the usual spans say, whatever the platform's are.
    SlowReplacement,
    /// The silence of a primary that is gone counts from the take-over.
    ForgetSilenceOfMembers,
    /// Newcomers get places one after the other, each by a take-over.
    OneNewcomerAtATime,
    /// A disk that was wiped counts as a newcomer while its last word is fresh.
    StaleNewcomer,
}
