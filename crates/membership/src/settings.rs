//! The intervals, timeouts and limits of the protocol.

use mosshead_time::{Duration, whole_millis};

const MIN_INTERVAL: Duration = Duration::from_millis(1);
/// Twice [`MIN_INTERVAL`], because the probe timeout is at most half of the probe interval.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(2);
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
/// The upper bound of the tombstone retention and of the sync delays.
const MAX_RETENTION: Duration = Duration::from_secs(86_400);
/// The upper bound of the number of members that one message is sent to at the same time.
const MAX_FANOUT: usize = 16;
const MAX_RETRANSMIT_MULTIPLIER: u32 = 16;
const MAX_SYNC_DATAGRAMS: usize = 16;
const MIN_MEMBERS: usize = 2;
const MAX_MEMBERS: usize = 65_536;

/// The protocol parameters. All members of a fleet should have the same settings.
///
/// Durations have a resolution of one millisecond. [`Membership::new`](crate::Membership::new) clamps values that are
/// out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Identifies the fleet. Datagrams of other fleets are dropped, so that fleets don't merge by accident.
    pub fleet_id: u64,
    /// The protocol period, in which one member is probed.
    pub probe_interval: Duration,
    /// The time after which a missing ack causes indirect probes; at most half of the protocol period.
    pub probe_timeout: Duration,
    /// The number of members that are sent a ping-req after a probe has timed out.
    pub indirect_probes: usize,
    /// The suspicion timeout is this duration, times the base-10 logarithm of the number of live members (at least 1).
    pub suspicion_timeout_per_decade: Duration,
    /// The lower bound of the suspicion timeout.
    pub min_suspicion_timeout: Duration,
    /// The upper bound of the suspicion timeout.
    pub max_suspicion_timeout: Duration,
    /// The number of members, in addition to the probed one, that are sent gossip in each period while updates are
    /// queued.
    pub gossip_fanout: usize,
    /// An update is sent at most this many times the base-2 logarithm, rounded up, of the number of live members plus
    /// one; see [`Settings::retransmit_limit`].
    pub retransmit_multiplier: u32,
    /// The delay before the second attempt to join. It doubles with each attempt, up to `reconnect_interval`.
    pub join_retry_interval: Duration,
    /// The interval of pings to absent seeds and addresses of dead members.
    pub reconnect_interval: Duration,
    /// A sync is requested if digests differ and the local member has received no change of the members for this long.
    pub sync_quiet_period: Duration,
    /// During continuous changes, a sync is requested if digests differ and the last request was this long ago.
    pub max_sync_delay: Duration,
    /// The maximum number of datagrams in one response to a sync request.
    pub max_sync_datagrams: usize,
    /// How long the records of dead and departed members are retained, so that outdated updates don't revive them.
    pub tombstone_retention: Duration,
    /// The maximum number of known members, including dead and departed ones.
    pub max_members: usize,
    /// Disabled only in tests that show the effect of refutation.
    #[doc(hidden)]
    pub is_refutation_enabled: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            fleet_id: 0,
            probe_interval: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(150),
            indirect_probes: 3,
            suspicion_timeout_per_decade: Duration::from_millis(1_200),
            min_suspicion_timeout: Duration::from_millis(1_200),
            max_suspicion_timeout: Duration::from_millis(6_000),
            gossip_fanout: 1,
            retransmit_multiplier: 3,
            join_retry_interval: Duration::from_millis(250),
            reconnect_interval: Duration::from_millis(2_000),
            sync_quiet_period: Duration::from_millis(2_000),
            max_sync_delay: Duration::from_millis(5_000),
            max_sync_datagrams: 4,
            tombstone_retention: Duration::from_millis(60_000),
            max_members: 4_096,
            is_refutation_enabled: true,
        }
    }
}

impl Settings {
    /// Clamps all values to bounds with which the protocol works.
    pub(crate) fn bounded(mut self) -> Settings {
        self.probe_interval = self.probe_interval.clamp(MIN_PROBE_INTERVAL, MAX_INTERVAL);
        self.probe_timeout = self.probe_timeout.clamp(MIN_INTERVAL, half(self.probe_interval));
        self.join_retry_interval = self.join_retry_interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        self.reconnect_interval = self.reconnect_interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        self.min_suspicion_timeout = self.min_suspicion_timeout.clamp(MIN_INTERVAL, MAX_INTERVAL);
        self.max_suspicion_timeout =
            self.max_suspicion_timeout.clamp(self.min_suspicion_timeout, MAX_INTERVAL);
        self.suspicion_timeout_per_decade = self.suspicion_timeout_per_decade.min(MAX_INTERVAL);
        self.sync_quiet_period = self.sync_quiet_period.min(MAX_RETENTION);
        self.max_sync_delay = self.max_sync_delay.min(MAX_RETENTION);
        self.tombstone_retention = self.tombstone_retention.min(MAX_RETENTION);
        self.indirect_probes = self.indirect_probes.min(MAX_FANOUT);
        self.gossip_fanout = self.gossip_fanout.min(MAX_FANOUT);
        self.retransmit_multiplier = self.retransmit_multiplier.clamp(1, MAX_RETRANSMIT_MULTIPLIER);
        self.max_sync_datagrams = self.max_sync_datagrams.clamp(1, MAX_SYNC_DATAGRAMS);
        self.max_members = self.max_members.clamp(MIN_MEMBERS, MAX_MEMBERS);
        self
    }

    /// How long a suspect has to refute, in a fleet with this number of live members.
    pub fn suspicion_timeout(&self, live_member_count: usize) -> Duration {
        let decades = (live_member_count.max(1) as f64).log10().max(1.0);
        let millis = whole_millis(self.suspicion_timeout_per_decade) as f64 * decades;
        let upper_bound = self.max_suspicion_timeout.max(self.min_suspicion_timeout);
        Duration::from_millis(millis as u64).clamp(self.min_suspicion_timeout, upper_bound)
    }

    /// The maximum number of transmissions of an update, in a fleet with this number of live members.
    pub fn retransmit_limit(&self, live_member_count: usize) -> u32 {
        // The base-2 logarithm, rounded up.
        self.retransmit_multiplier * (live_member_count + 1).next_power_of_two().trailing_zeros()
    }
}

/// Half of a duration in whole milliseconds.
pub(crate) fn half(duration: Duration) -> Duration {
    Duration::from_millis(whole_millis(duration) / 2)
}
