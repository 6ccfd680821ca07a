//! Applies updates: decides which of two updates about a member takes precedence, and changes the state accordingly.

use std::cmp::Ordering;

use super::ProtocolState;
use crate::event_log::Event;
use crate::peer::MemberState;
use crate::wire::MemberUpdate;

/// The way an update was received.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// From the member that the update is about.
    Sender,
    /// Piggybacked on a datagram of another member.
    Gossip,
    /// In a sync response. Its sender has known the update for a while, so it is not disseminated again.
    Sync,
}

impl ProtocolState {
    /// Applies an update. Returns true if the local member had to refute it by raising its incarnation.
    pub(crate) fn apply_update(&mut self, update: &MemberUpdate, source: UpdateSource) -> bool {
        if update.name == self.local.name() {
            return self.apply_local_update(update);
        }
        let known = self.table.get(&update.name).map(|record| (record.version(), record.state));
        let Some((version, state)) = known else {
            self.apply_unknown_update(update, source);
            return false;
        };
        match update.version().cmp(&version) {
            Ordering::Greater => self.apply_newer_update(update, state, source),
            Ordering::Equal => self.apply_same_version_update(update, state, source),
            Ordering::Less => {}
        }
        false
    }

    /// Marks a member that is alive as suspect, and disseminates the suspicion.
    pub(crate) fn mark_suspect(&mut self, name: &str) {
        if self.table.get(name).is_none_or(|record| record.state != MemberState::Alive) {
            return;
        }
        self.table.set_state(name, MemberState::Suspect);
        let timeout = self.settings.suspicion_timeout(self.table.live_member_count());
        self.suspicions.begin(name, self.now + timeout);
        self.events.append(Event::Suspected(name.to_owned()));
        self.gossip.push(name, self.now);
    }

    /// Marks a member as dead and disseminates it, like `Confirm` in section 4.2 of the SWIM paper.
    pub(crate) fn mark_dead(&mut self, name: &str) {
        let Some(address) = self.table.get(name).map(|record| record.peer.address) else { return };
        self.mark_gone(name, MemberState::Dead, Event::Died(name.to_owned()));
        self.contacts.add_lost(address);
    }

    /// The known update about the same name that overrides this one. `None` if there is none, or if this update is a
    /// leave, which needs no correction.
    pub(crate) fn overriding_update(&self, update: &MemberUpdate) -> Option<MemberUpdate> {
        let record = self.table.get(&update.name)?;
        let is_overridden = (record.version(), record.state) > (update.version(), update.state);
        (is_overridden && update.state != MemberState::Left).then(|| record.update())
    }

    fn apply_newer_update(&mut self, update: &MemberUpdate, known_state: MemberState, source: UpdateSource) {
        match update.state {
            MemberState::Alive => self.mark_alive(update, source),
            MemberState::Suspect => self.mark_suspect_of_newer_version(update),
            // A death report is treated as a suspicion, because the member may already have refuted it.
            MemberState::Dead if known_state.is_live() => self.mark_suspect_of_newer_version(update),
            // The member is already dead or has left. Only the version is raised, so that older updates don't revive
            // it.
            MemberState::Dead => self.table.put(update.peer(), update.incarnation, known_state),
            // The known state is kept first, so that `mark_left` sees whether the member was live.
            MemberState::Left => {
                self.table.put(update.peer(), update.incarnation, known_state);
                self.mark_left(&update.name);
            }
        }
    }

    fn apply_same_version_update(
        &mut self,
        update: &MemberUpdate,
        known_state: MemberState,
        source: UpdateSource,
    ) {
        match (known_state, update.state) {
            // Another member disseminates the same update, which counts as one more transmission.
            (known, received) if known == received && source == UpdateSource::Gossip => {
                let limit = self.retransmit_limit();
                self.gossip.record_transmissions(std::slice::from_ref(&update.name), limit);
            }
            (MemberState::Alive, MemberState::Suspect) => self.mark_suspect(&update.name),
            (MemberState::Suspect, MemberState::Dead) => self.mark_dead(&update.name),
            // Accepting the death would spread the losses of one side of a partition to the other when it heals. The
            // member is probed instead, so that it can refute.
            (MemberState::Alive, MemberState::Dead) => self.probe_order.queue_recheck(&update.name),
            (MemberState::Alive | MemberState::Suspect | MemberState::Dead, MemberState::Left) => {
                self.mark_left(&update.name);
            }
            // Others report a dead member as live. It is pinged, so that it can refute.
            (MemberState::Dead, MemberState::Alive | MemberState::Suspect)
                if source != UpdateSource::Sender =>
            {
                self.probe_order.queue_dead_recheck(&update.name);
            }
            _ => {}
        }
    }

    /// Applies an update about an unknown name. Deaths and leaves are ignored: the member was never known here, or
    /// its tombstone has expired. A suspicion is accepted only from a sync.
    fn apply_unknown_update(&mut self, update: &MemberUpdate, source: UpdateSource) {
        let is_accepted = match update.state {
            MemberState::Alive => true,
            MemberState::Suspect => source == UpdateSource::Sync,
            MemberState::Dead | MemberState::Left => false,
        };
        if is_accepted && self.table.ensure_capacity() {
            self.mark_alive(update, source);
            if update.state == MemberState::Suspect {
                self.mark_suspect(&update.name);
            }
        }
    }

    /// Applies an update about the local name. It is refuted with a higher incarnation, unless it is older than the
    /// local member's own update or a copy of it. Returns true if it was refuted.
    fn apply_local_update(&mut self, update: &MemberUpdate) -> bool {
        let is_this_instance = self.local.is_same_instance(update);
        if self.local.is_leaving() || (is_this_instance && !self.settings.is_refutation_enabled) {
            return false;
        }
        let is_own_earlier_update = is_this_instance && update.state == MemberState::Alive;
        let is_overridden = update.version() < self.local.version();
        if is_own_earlier_update || is_overridden {
            return false;
        }
        self.local.refute(update.incarnation);
        self.table.put(self.local.peer().clone(), self.local.incarnation(), MemberState::Alive);
        self.changes.record_refutation(self.now);
        true
    }

    fn mark_suspect_of_newer_version(&mut self, update: &MemberUpdate) {
        // The member is not disseminated as alive; `mark_suspect` disseminates it as a suspect.
        self.set_alive(update);
        self.mark_suspect(&update.name);
    }

    /// Marks a member as alive, by an update that is newer than all known ones, and disseminates it unless it came
    /// from a sync.
    fn mark_alive(&mut self, update: &MemberUpdate, source: UpdateSource) {
        self.set_alive(update);
        if source != UpdateSource::Sync {
            self.gossip.push(&update.name, self.now);
        }
    }

    /// Marks a member as alive, by an update that is newer than all known ones, without dissemination.
    fn set_alive(&mut self, update: &MemberUpdate) {
        let peer = update.peer();
        let known = self.table.get(&update.name);
        let was_live = known.is_some_and(|record| record.state.is_live() && record.peer == peer);
        if let Some(record) = known.filter(|record| record.peer.address != peer.address) {
            self.contacts.remove_lost(record.peer.address);
        }
        self.contacts.remove_lost(peer.address);
        self.table.put(peer.clone(), update.incarnation, MemberState::Alive);
        let was_suspected = self.suspicions.end(&update.name);
        if !was_live {
            self.events.append(Event::Joined(peer));
            self.probe_order.insert(&update.name, &mut *self.rng);
        } else if was_suspected {
            self.events.append(Event::Refuted(update.name.clone()));
        }
        self.changes.record_change(self.now);
    }

    /// Marks a member as left and disseminates it. Its address is removed from the contact points, because no member
    /// is expected there.
    fn mark_left(&mut self, name: &str) {
        let Some(address) = self.table.get(name).map(|record| record.peer.address) else { return };
        self.mark_gone(name, MemberState::Left, Event::Left(name.to_owned()));
        self.contacts.remove_lost(address);
    }

    /// Marks a member as dead or left. If it was live, records the event and disseminates the change.
    fn mark_gone(&mut self, name: &str, state: MemberState, event: Event) {
        let was_live = self.table.is_live(name);
        self.table.set_state(name, state);
        self.suspicions.end(name);
        self.table.add_tombstone(name, self.now + self.settings.tombstone_retention);
        if was_live {
            self.events.append(event);
            self.changes.record_change(self.now);
            self.gossip.push(name, self.now);
        }
    }
}
