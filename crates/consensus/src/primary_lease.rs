//! The lease of a primary: how long it may act without a response from a majority.

use mosshead_time::Instant;

use crate::context::Context;

/// The lease of this node as primary. It is kept outside the role because it continues through a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PrimaryLease {
    /// When the newest heartbeat that a majority has answered was sent, or the configuration of the epoch was proposed;
    /// none before this node was primary.
    confirmed_at: Option<Instant>,
}

impl PrimaryLease {
    /// Starts the lease of an epoch whose configuration was proposed at this instant.
    pub(crate) fn start_epoch(&mut self, proposed_at: Instant) {
        self.confirmed_at = Some(proposed_at);
    }

    /// Extends the lease: the newest heartbeat that a majority has answered was sent at `sent_at`. This never goes back,
    /// because what each peer has acknowledged only increases, and an epoch starts with the proposal that a majority has
    /// accepted.
    pub(crate) fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = Some(sent_at);
    }

    /// Returns true if the lease is valid at `now`, whatever the role of this node is.
    pub(crate) fn is_valid(&self, context: &Context, now: Instant) -> bool {
        context.is_within_lease(self.confirmed_at, now)
    }
}
