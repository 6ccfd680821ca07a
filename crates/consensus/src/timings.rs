//! Intervals and timeouts of a node.

use core::time::Duration;

/// Callers turn to another node after this long without a reply.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The part of [`CALLER_TIMEOUT`] that is left for the round trip of the call and for the time from one tick to the next.
const CALLER_MARGIN: Duration = Duration::from_millis(150);
/// A machine shuts down at most this long after the one that replaces it has started.
const MAX_SHUTDOWN_DELAY: Duration = Duration::from_millis(1_000);
/// A membership change by two take-overs, and the copy of the state to the new backups, take at most this long.
const MAX_MEMBERSHIP_CHANGE: Duration = Duration::from_millis(1_000);

/// Intervals and timeouts of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Timings {
    /// From one heartbeat of the primary to the next.
    pub heartbeat_interval: Duration,
    /// A primary or a backup that was silent for this long may be replaced in its role.
    pub suspicion_timeout: Duration,
    /// A primary whose last heartbeat that a majority has answered is older than this steps down. Equal at all nodes.
    pub lease: Duration,
    /// A member that was silent for this long gives its slot to a newcomer.
    pub replacement_timeout: Duration,
    /// A backup that has not written a change for this long is replaced.
    pub backup_write_timeout: Duration,
    /// A primary whose own write takes this long gives up its role.
    pub local_write_timeout: Duration,
    /// A node whose write takes longer than this is not healthy.
    pub unhealthy_write_timeout: Duration,
    /// A node whose write failed tries its disk again after this time.
    pub disk_retry_interval: Duration,
    /// A request that waited this long is answered as unavailable, while its caller still expects a reply.
    pub request_timeout: Duration,
    /// A take-over ends when one of its phases makes no progress for this long.
    pub take_over_step_timeout: Duration,
    /// A message whose answer is missing is sent again after this time.
    pub resend_interval: Duration,
    /// The resend interval of messages that may be as large as a state.
    pub state_resend_interval: Duration,
    /// Bootstrap voters wait at most this long until they all know each other.
    pub bootstrap_timeout: Duration,
}

impl Timings {
    /// The default timings, for a platform where newcomers have to be members, with a copy of the state, `deadline` after
    /// their start. The replacement timeout is what remains of it: not less than the suspicion timeout, not more than by
    /// default.
    pub fn for_join_deadline(deadline: Duration) -> Timings {
        let defaults = Timings::default();
        let remaining = deadline.saturating_sub(MAX_SHUTDOWN_DELAY + MAX_MEMBERSHIP_CHANGE);
        let replacement_timeout = remaining.clamp(defaults.suspicion_timeout, defaults.replacement_timeout);
        Timings { replacement_timeout, ..defaults }
    }

    /// How old a state may be that a node publishes while it reports contact with a quorum.
    ///
    /// Every change that any node acknowledged longer ago than this is part of that state. A follower has contact for `lease`
    /// after it has answered a heartbeat, if a later heartbeat of the primary proves that, and only once it publishes what
    /// that later one reported as committed. A primary sends heartbeats for `lease` after it has sent one that a majority
    /// has answered without having promised a higher term; until then nobody else has acknowledged anything.
    pub fn max_staleness(&self) -> Duration {
        self.lease + self.lease
    }
}

impl Default for Timings {
    fn default() -> Timings {
        Timings {
            heartbeat_interval: Duration::from_millis(100),
            suspicion_timeout: Duration::from_millis(600),
            lease: Duration::from_millis(600),
            replacement_timeout: Duration::from_millis(2_500),
            backup_write_timeout: Duration::from_millis(400),
            local_write_timeout: Duration::from_millis(700),
            unhealthy_write_timeout: Duration::from_millis(400),
            disk_retry_interval: Duration::from_millis(500),
            request_timeout: CALLER_TIMEOUT.saturating_sub(CALLER_MARGIN),
            take_over_step_timeout: Duration::from_millis(500),
            resend_interval: Duration::from_millis(100),
            state_resend_interval: Duration::from_millis(250),
            bootstrap_timeout: Duration::from_millis(1_500),
        }
    }
}
