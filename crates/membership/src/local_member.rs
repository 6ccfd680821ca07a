//! The local member, and the updates about itself.

use crate::peer::{MemberState, Peer};
use crate::wire::{MAX_INCARNATION, MemberUpdate, UpdateVersion};

const FIRST_INCARNATION: u64 = 1;

/// The identity and incarnation of the local member, and whether it is leaving.
pub(crate) struct LocalMember {
    peer: Peer,
    /// Never decreases, and is at most [`MAX_INCARNATION`].
    incarnation: u64,
    /// Never reset once it is set.
    is_leaving: bool,
}

impl LocalMember {
    pub(crate) fn new(peer: Peer) -> LocalMember {
        LocalMember { peer, incarnation: FIRST_INCARNATION, is_leaving: false }
    }

    pub(crate) fn peer(&self) -> &Peer {
        &self.peer
    }

    pub(crate) fn name(&self) -> &str {
        &self.peer.name
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// True if it has announced its shutdown.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Changes the state in its updates to [`MemberState::Left`].
    pub(crate) fn begin_leave(&mut self) {
        self.is_leaving = true;
    }

    /// True if an update is about this instance, and not about another one with the same name.
    pub(crate) fn is_same_instance(&self, update: &MemberUpdate) -> bool {
        update.name == self.peer.name && update.instance_id == self.peer.instance_id
    }

    /// The version of [`LocalMember::update`].
    pub(crate) fn version(&self) -> UpdateVersion {
        UpdateVersion { incarnation: self.incarnation, instance_id: self.peer.instance_id }
    }

    /// The update about itself in each of its datagrams: alive or left.
    pub(crate) fn update(&self) -> MemberUpdate {
        let state = if self.is_leaving { MemberState::Left } else { MemberState::Alive };
        MemberUpdate::new(&self.peer, self.incarnation, state)
    }

    /// Raises the incarnation above that of an update about this member, so that its own update overrides it.
    pub(crate) fn refute(&mut self, refuted_incarnation: u64) {
        self.incarnation = refuted_incarnation.saturating_add(1).min(MAX_INCARNATION);
    }
}
