//! What a host reports to a role and what the role has it do.

use crate::fencing::FencingToken;
use crate::instant::Instant;

/// The store's number of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Identifies a store; one that was restored from a copy of its state is another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoreId(pub u64);

/// A member's own number of one of its calls to the store. The event that ends the call has the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct CallId(u64);

impl CallId {
    /// The number of the call after this one.
    pub(crate) fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}

/// What the store says of a role: from a linearizable read, or from the watch that continues it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreUpdate {
    /// The store that this update comes from.
    pub store_id: StoreId,
    /// The store that operators gave the epoch to. It differs from `store_id` if this store was restored from a copy.
    pub epoch_store_id: StoreId,
    /// The store's epoch and revision at this update.
    pub position: FencingToken,
    /// The token of the holder, if there is one.
    pub holder: Option<FencingToken>,
}

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The member may take part.
    Join,
    /// The member is to take part no longer: its process shuts down or drains, or an operator has said so.
    Leave,
    /// A read has returned, or its watch has reported a change.
    StoreUpdated(StoreUpdate),
    /// The read failed, or the watch has a gap: it was cancelled or compacted, or its connection broke.
    WatchLost,
    /// The store has given the role to this member.
    Acquired {
        /// The call that acquired it.
        call_id: CallId,
        /// The store that has given it.
        store_id: StoreId,
        /// Fences the acts of this holder.
        token: FencingToken,
        /// The lease on which the role depends.
        lease_id: LeaseId,
    },
    /// The role has another holder, or the store another epoch.
    NotAcquired {
        /// The call that was to acquire it.
        call_id: CallId,
    },
    /// The store has renewed the lease.
    Renewed {
        /// The call that renewed it.
        call_id: CallId,
    },
    /// The lease was not renewed: the store does not know it.
    LeaseNotFound {
        /// The call that was to renew it.
        call_id: CallId,
    },
    /// A call had no response, or an error: the store may have carried it out nevertheless.
    CallFailed {
        /// The call that failed.
        call_id: CallId,
    },
    /// An act was rejected, since its receiver has seen a higher token.
    TokenRejected {
        /// The highest token that the receiver has seen.
        highest_seen: FencingToken,
    },
    /// The instant of the last [`Command::SetTimer`] has come.
    TimerExpired,
}

/// What the host has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Read who holds the role (linearizably: by a stale read a member would acquire what another still holds), and watch from
    /// there on. Replaces the read and the watch before it.
    ReadAndWatch,
    /// Ask for a lease of [`LeaseTiming::lease_duration`](crate::LeaseTiming::lease_duration), and with it acquire the role, if
    /// no member holds it and the store still has this epoch.
    Acquire {
        /// The number of this call.
        call_id: CallId,
        /// The epoch that the store must still have.
        epoch: u64,
    },
    /// Renew the lease on which the role depends.
    Renew {
        /// The number of this call.
        call_id: CallId,
        /// The lease to renew.
        lease_id: LeaseId,
    },
    /// Give the lease up, and with it the role.
    Release(LeaseId),
    /// Report [`Event::TimerExpired`] at this instant. Replaces the timer before it.
    SetTimer(Instant),
}
