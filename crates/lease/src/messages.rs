//! The messages between a host and its role: events that the host reports, and commands that it carries out.

use crate::fencing::FencingToken;
use crate::instant::Instant;

/// The id of a lease, assigned by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Identifies a store. A store that was restored from a copy of another one has an id of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoreId(pub u64);

/// The id of a call to the store, assigned by the member. The event that ends the call has the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallId(u64);

impl CallId {
    /// Returns the id of the call after this one.
    pub(crate) fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}

/// The state of a role in the store, from a linearizable read or from the watch that continues it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreUpdate {
    /// The store that this update comes from.
    pub store_id: StoreId,
    /// The store to which operators assigned the epoch. It differs from `store_id` if this store was restored
    /// from a copy.
    pub epoch_store_id: StoreId,
    /// The store's epoch and revision at this update.
    pub position: FencingToken,
    /// The token of the holder, if there is one.
    pub holder: Option<FencingToken>,
}

/// An event that the host reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The member may take part in the role.
    Join,
    /// The member must no longer take part: its process shuts down or drains, or an operator has requested
    /// it.
    Leave,
    /// A read has returned, or its watch has reported a change.
    StoreUpdated(StoreUpdate),
    /// The read failed, or the watch has a gap: it was cancelled or compacted, or its connection broke.
    WatchLost,
    /// The store has assigned the role to this member.
    Acquired {
        /// The call that acquired it.
        call_id: CallId,
        /// The store that assigned it.
        store_id: StoreId,
        /// The token that the holder sends with each act.
        token: FencingToken,
        /// The lease on which the role depends.
        lease_id: LeaseId,
    },
    /// The role has another holder, or the store has another epoch.
    NotAcquired {
        /// The call that tried to acquire it.
        call_id: CallId,
    },
    /// The store has renewed the lease.
    Renewed {
        /// The call that renewed it.
        call_id: CallId,
    },
    /// The lease was not renewed, because the store does not know it.
    LeaseNotFound {
        /// The call that tried to renew it.
        call_id: CallId,
    },
    /// A call failed or got no response. The store may have executed it nevertheless.
    CallFailed {
        /// The call that failed.
        call_id: CallId,
    },
    /// An act was rejected because its receiver has seen a higher token.
    TokenRejected {
        /// The highest token that the receiver has seen.
        highest_seen: FencingToken,
    },
    /// The timer set by the last [`Command::SetTimer`] has expired.
    TimerExpired,
}

/// A command that the host has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Read the holder of the role, and watch it from there on. The read must be linearizable: after a stale
    /// read, a member could acquire a role that another still holds. Replaces the previous read and watch.
    ReadAndWatch,
    /// Request a lease of [`LeaseTiming::lease_duration`](crate::LeaseTiming::lease_duration), and acquire
    /// the role with it if no member holds the role and the store still has this epoch.
    Acquire {
        /// The id of this call.
        call_id: CallId,
        /// The epoch that the store must still have.
        epoch: u64,
    },
    /// Renew the lease on which the role depends.
    Renew {
        /// The id of this call.
        call_id: CallId,
        /// The lease to renew.
        lease_id: LeaseId,
    },
    /// Release the lease, and with it the role.
    Release(LeaseId),
    /// Report [`Event::TimerExpired`] at this instant. Replaces the previous timer.
    SetTimer(Instant),
}
