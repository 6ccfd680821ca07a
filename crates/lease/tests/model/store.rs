//! A model of the store: its calls, its leases, and the updates that its watch reports.

use std::collections::BTreeMap;

use mosshead_lease::{CallId, Event, FencingToken, LeaseId, StoreId, StoreUpdate};

use crate::scenario::Mutant;

/// The duration of a lease, in time steps.
pub(crate) const LEASE_DURATION: u64 = 2;

/// A call of a member to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum StoreCall {
    ReadAndWatch { read_number: u8 },
    Acquire { call_id: CallId, epoch: u64 },
    Renew { call_id: CallId, lease_id: LeaseId },
    Release(LeaseId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Holder {
    pub(crate) lease_id: LeaseId,
    pub(crate) token: FencingToken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    id: u64,
    /// The store to which operators assigned the epoch.
    epoch_store_id: u64,
    pub(crate) position: FencingToken,
    pub(crate) holder: Option<Holder>,
    /// The time step at which each lease ends.
    lease_ends: BTreeMap<LeaseId, u64>,
    last_lease_id: u64,
}

impl Store {
    pub(crate) fn new() -> Store {
        Store {
            id: 1,
            epoch_store_id: 1,
            position: FencingToken { epoch: 1, revision: 1 },
            holder: None,
            lease_ends: BTreeMap::new(),
            last_lease_id: 0,
        }
    }

    pub(crate) fn update(&self) -> StoreUpdate {
        StoreUpdate {
            store_id: StoreId(self.id),
            epoch_store_id: StoreId(self.epoch_store_id),
            position: self.position,
            holder: self.holder.map(|holder| holder.token),
        }
    }

    /// Returns true if its epoch was assigned to another store.
    pub(crate) fn is_foreign(&self) -> bool {
        self.id != self.epoch_store_id
    }

    /// Restores the store from a copy of its initial state. It then counts as another store.
    pub(crate) fn restore(&mut self) {
        self.id += 1;
        self.position = FencingToken { epoch: 1, revision: 1 };
        self.holder = None;
        self.lease_ends.clear();
    }

    /// Assigns a higher epoch to the store, as operators do.
    pub(crate) fn raise_epoch(&mut self) {
        self.epoch_store_id = self.id;
        self.position.epoch += 1;
        self.position.revision += 1;
    }

    pub(crate) fn acquire(&mut self, now: u64, call_id: CallId, epoch: u64) -> Event {
        if self.holder.is_some() || self.position.epoch != epoch {
            return Event::NotAcquired { call_id };
        }
        self.last_lease_id += 1;
        self.position.revision += 1;
        let lease_id = LeaseId(self.last_lease_id);
        self.lease_ends.insert(lease_id, now + LEASE_DURATION);
        self.holder = Some(Holder { lease_id, token: self.position });
        Event::Acquired { call_id, store_id: StoreId(self.id), token: self.position, lease_id }
    }

    pub(crate) fn renew(&mut self, now: u64, call_id: CallId, lease_id: LeaseId) -> Event {
        match self.lease_ends.get_mut(&lease_id) {
            Some(ends_at) => {
                *ends_at = now + LEASE_DURATION;
                Event::Renewed { call_id }
            }
            None => Event::LeaseNotFound { call_id },
        }
    }

    pub(crate) fn release(&mut self, lease_id: LeaseId, mutant: Mutant) {
        let is_known = self.lease_ends.remove(&lease_id).is_some();
        let is_of_holder = self.holder.is_some_and(|holder| holder.lease_id == lease_id);
        if (is_known && is_of_holder) || mutant == Mutant::ReleaseEndsAnyLease {
            self.remove_holder();
        }
    }

    /// Ends the leases that were not renewed in time. Returns true if the role lost its holder by that.
    pub(crate) fn expire_leases(&mut self, now: u64) -> bool {
        self.lease_ends.retain(|_, ends_at| *ends_at > now);
        let has_expired = self.holder.is_some_and(|holder| !self.lease_ends.contains_key(&holder.lease_id));
        if has_expired {
            self.remove_holder();
        }
        has_expired
    }

    fn remove_holder(&mut self) {
        self.holder = None;
        self.position.revision += 1;
    }
}
