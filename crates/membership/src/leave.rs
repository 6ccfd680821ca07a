//! Announces that the local member shuts down. The announcement is repeated, because datagrams may be lost.

use mosshead_time::{Duration, Instant};

use crate::state::ProtocolState;

/// The number of repetitions after the first announcement, one in each protocol period.
const REPETITIONS: u32 = 3;
/// The number of members that each announcement is sent to.
const FANOUT: usize = 6;

/// Schedules the repetitions of the announcement.
#[derive(Default)]
pub(crate) struct LeaveAnnouncer {
    /// One protocol period after the last announcement, even if no repetition remains.
    next_at: Instant,
    /// The number of remaining repetitions.
    remaining: u32,
}

impl LeaveAnnouncer {
    /// Announces the shutdown for the first time.
    pub(crate) fn start(&mut self, state: &mut ProtocolState) {
        state.begin_leave();
        self.remaining = REPETITIONS;
        self.announce(state);
    }

    /// Repeats the announcement if a repetition is due.
    pub(crate) fn repeat_if_due(&mut self, state: &mut ProtocolState) {
        if self.remaining > 0 && state.now() >= self.next_at {
            self.remaining -= 1;
            self.announce(state);
        }
    }

    /// One protocol period after the last announcement, even if no repetition remains. It is used to detect late calls;
    /// [`LeaveAnnouncer::next_deadline`] is when the next call is needed.
    pub(crate) fn next_at(&self) -> Instant {
        self.next_at
    }

    /// When the announcement must be repeated; [`Instant::FAR_FUTURE`] if no repetition remains.
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
