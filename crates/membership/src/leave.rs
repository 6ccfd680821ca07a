//! The announcement that the local member shuts down, which is repeated since datagrams get lost.

use mosshead_time::{Duration, Instant};

use crate::state::ProtocolState;

/// How often the announcement is repeated after the first one, once a protocol period.
const REPETITIONS: u32 = 3;
/// Number of members that each announcement is sent to.
const FANOUT: usize = 6;

/// The repetitions of the announcement, once the local member is leaving.
#[derive(Default)]
pub(crate) struct LeaveAnnouncer {
    /// A protocol period after the last announcement, also once none remains.
    next_at: Instant,
    /// Number of repetitions that are still to be sent.
    remaining: u32,
}

impl LeaveAnnouncer {
    /// Announces the shutdown for the first time.
    pub(crate) fn start(&mut self, state: &mut ProtocolState) {
        state.begin_leave();
        self.remaining = REPETITIONS;
        self.announce(state);
    }

    /// Repeats the announcement, if one remains and it is time.
    pub(crate) fn repeat_if_due(&mut self, state: &mut ProtocolState) {
        if self.remaining > 0 && state.now() >= self.next_at {
            self.remaining -= 1;
            self.announce(state);
        }
    }

    /// A protocol period after the last announcement, also once none remains. By this it is seen how late a call is; when
    /// the next call is needed is [`LeaveAnnouncer::next_deadline`].
    pub(crate) fn next_at(&self) -> Instant {
        self.next_at
    }

    /// When the announcement has to be repeated; [`Instant::FAR_FUTURE`] once none remains.
    pub(crate) fn next_deadline(&self) -> Instant {
        if self.remaining > 0 { self.next_at } else { Instant::FAR_FUTURE }
    }

    /// Postpones the next announcement.
    pub(crate) fn postpone(&mut self, delay: Duration) {
        self.next_at += delay;
    }

    fn announce(&mut self, state: &mut ProtocolState) {
        self.next_at = state.now() + state.settings().probe_interval;
        state.send_gossip(FANOUT);
    }
}
