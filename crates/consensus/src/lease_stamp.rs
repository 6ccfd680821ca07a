//! The stamps that prove round trips between a follower and its primary.

use core::time::Duration;

use minicbor::{Decode, Encode};
use mosshead_time::Instant;

/// The monotonic time of a node when it answered a heartbeat. Only that node interprets it; the primary returns it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LeaseStamp {
    /// The random number of this incarnation of the process: monotonic clocks restart with each one.
    #[n(0)]
    pub incarnation: u64,
    /// When the node answered, by its own clock.
    #[n(1)]
    pub answered_at: Instant,
}

impl LeaseStamp {
    /// Returns true if the peer that sent this stamp was out of contact for longer than a lease since its last stamp.
    pub(crate) fn is_first_after_silence(&self, last: Option<LeaseStamp>, lease: Duration) -> bool {
        last.is_none_or(|last| {
            last.incarnation != self.incarnation || self.answered_at.duration_since(last.answered_at) > lease
        })
    }

    /// The newer one of two stamps of a peer; they may arrive out of order.
    pub(crate) fn newest(self, last: Option<LeaseStamp>) -> LeaseStamp {
        match last {
            Some(last) if last.incarnation == self.incarnation && last.answered_at > self.answered_at => last,
            _ => self,
        }
    }
}
