//! The lease of a primary: how long it may act without a response of a majority.

use mosshead_time::Instant;

use crate::context::Context;

/// The lease of this node as primary. Outlives the role, since the lease goes on through a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PrimaryLease {
    /// When the newest heartbeat was sent that a majority has answered, or the configuration of the epoch was proposed; none
    /// before this node was primary.
    confirmed_at: Option<Instant>,
}

impl PrimaryLease {
    /// A new epoch begins: its configuration was proposed at this instant.
    pub(crate) fn start_epoch(&mut self, proposed_at: Instant) {
        self.confirmed_at = Some(proposed_at);
    }

    /// The newest heartbeat that a majority has answered was sent at this instant. It is never before the last one: what
    /// each peer has acknowledged only rises, and an epoch starts with the proposal that a majority has accepted.
    pub(crate) fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = Some(sent_at);
    }

    /// Whether the lease is valid at `now`, whatever the role of this node is.
    pub(crate) fn is_valid(&self, context: &Context, now: Instant) -> bool {
        context.is_within_lease(self.confirmed_at, now)
    }
}
