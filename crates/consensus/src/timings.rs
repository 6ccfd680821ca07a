//! Intervals and timeouts of a node.

use core::time::Duration;

/// Callers turn to another node after this long without a reply.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The part of [`CALLER_TIMEOUT`] that is left for the round trip of the call and for the time from one tick to the next.
const CALLER_MARGIN: Duration = Duration::from_millis(150);
/// The longest time from the start of a replacement machine until the replaced one shuts down.
const MAX_SHUTDOWN_DELAY: Duration = Duration::from_millis(1_000);
/// The longest time for a membership change (two take-overs) and the copy of the state to the new backups.
const MAX_MEMBERSHIP_CHANGE: Duration = Duration::from_millis(1_000);

/// Intervals and timeouts of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Timings {
    /// The time between regular heartbeats of the primary.
    pub heartbeat_interval: Duration,
    /// A primary or a backup that has been silent for this long may be replaced in its role.
    pub suspicion_timeout: Duration,
    /// A primary steps down if the last heartbeat that a majority has answered is older than this. Must be equal on all
    /// nodes.
    pub lease: Duration,
    /// A member whose last healthy report is older than this may lose its slot to a newcomer.
    pub replacement_timeout: Duration,
    /// A backup that has not written a change for this long is replaced.
    pub backup_write_timeout: Duration,
    /// A primary whose own write takes this long resigns.
    pub local_write_timeout: Duration,
    /// A node whose write takes longer than this is not healthy.
    pub unhealthy_write_timeout: Duration,
    /// A node retries its disk this long after a failed write.
    pub disk_retry_interval: Duration,
    /// A request that has waited for this long is answered as unavailable, while its caller still expects a reply.
    pub request_timeout: Duration,
    /// A take-over ends when one of its phases makes no progress for this long.
    pub take_over_step_timeout: Duration,
    /// An unanswered message is sent again after this time.
    pub resend_interval: Duration,
    /// The resend interval of messages that may be as large as a state.
    pub state_resend_interval: Duration,
    /// The longest time that bootstrap voters wait until they all know each other.
    pub bootstrap_timeout: Duration,
}

impl Timings {
    /// The default timings for a platform on which a newcomer has to be a member with a copy of the state within
    /// `deadline` of its start. The replacement timeout is the rest of the deadline, but not less than the suspicion
    /// timeout and not more than the default.
    pub fn for_join_deadline(deadline: Duration) -> Timings {
        let defaults = Timings::default();
        let remaining = deadline.saturating_sub(MAX_SHUTDOWN_DELAY + MAX_MEMBERSHIP_CHANGE);
        let replacement_timeout = remaining.clamp(defaults.suspicion_timeout, defaults.replacement_timeout);
        Timings { replacement_timeout, ..defaults }
    }

    /// The highest age of the state that a node publishes while it reports contact with a quorum.
    ///
    /// Every change that any node acknowledged longer ago than this is part of that state. A follower has contact for
    /// `lease` after it has answered a heartbeat, if a later heartbeat of the primary proves that, and only once it
    /// publishes the state that the later one reported as committed. A primary sends heartbeats for `lease` after it has
    /// sent one that a majority has answered without having promised a higher term; until it sent that one, no primary of
    /// a higher term had acknowledged anything.
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
