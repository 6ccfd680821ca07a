//! What is made of claims about others and about oneself.

use crate::event_log::Event;
use crate::membership::Membership;
use crate::peer::MemberState;
use crate::wire::{Claim, INCARNATION_MAX};

/// How a claim came.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Via {
    /// From the member itself.
    Direct,
    /// As news from another.
    Rumour,
    /// In an answer to an asking: the teller has known it for long, so it isn't passed on as news.
    Page,
}

const RECHECKS_MAX: usize = 256;

impl Membership {
    /// Takes a claim in.
    pub(crate) fn hear(&mut self, claim: &Claim, via: Via) {
        if claim.name == self.me.name {
            return self.hear_of_me(claim);
        }
        let Some((key, health)) = self.roster.get(&claim.name).map(|record| (record.key(), record.health))
        else {
            return self.hear_of_stranger(claim, via);
        };
        if claim.key() > key {
            match claim.health {
                MemberState::Alive => self.enter(claim, via),
                // Believed only as far as a suspicion: the member may have refuted it already.
                MemberState::Suspect | MemberState::Dead
                    if claim.health == MemberState::Suspect || health.is_live() =>
                {
                    self.enter(claim, Via::Page);
                    self.suspect(&claim.name);
                }
                MemberState::Suspect | MemberState::Dead => {
                    self.roster.put(claim.peer(), claim.incarnation, health);
                }
                MemberState::Left => {
                    self.roster.put(claim.peer(), claim.incarnation, health);
                    self.bury(&claim.name, MemberState::Left);
                }
            }
        } else if claim.key() == key {
            match (health, claim.health) {
                // Others know it already: as good as one more sending of one's own.
                (held, told) if held == told && via == Via::Rumour => {
                    let limit = self.settings.sendings(self.roster.size());
                    self.rumours.sent(std::slice::from_ref(&claim.name), limit);
                }
                (MemberState::Alive, MemberState::Suspect) => self.suspect(&claim.name),
                (MemberState::Suspect, MemberState::Dead) => self.bury(&claim.name, MemberState::Dead),
                // Danger: to believe this would spread the losses of one side of a cut to the other when it heals.
                // The member is asked itself, and refutes if it can.
                (MemberState::Alive, MemberState::Dead) => self.ring.recheck(&claim.name),
                (MemberState::Alive | MemberState::Suspect | MemberState::Dead, MemberState::Left) => {
                    self.bury(&claim.name, MemberState::Left);
                }
                (MemberState::Dead, MemberState::Alive | MemberState::Suspect) if via != Via::Direct => {
                    self.ask_dead(&claim.name);
                }
                _ => {}
            }
        }
    }

    /// Declares a member suspect and tells it.
    pub(crate) fn suspect(&mut self, name: &str) {
        if self.roster.get(name).is_none_or(|record| record.health != MemberState::Alive) {
            return;
        }
        self.roster.set_health(name, MemberState::Suspect);
        let until = self.now + self.settings.suspect_ms(self.roster.size());
        self.suspects.insert(name.to_owned(), until);
        self.journal.append(Event::Suspected(name.to_owned()));
        self.rumours.push(name, self.now);
    }

    /// Declares a member dead or left and tells it.
    pub(crate) fn bury(&mut self, name: &str, health: MemberState) {
        let Some(record) = self.roster.get(name) else { return };
        let (lived, address) = (record.health.is_live(), record.peer.address);
        self.roster.set_health(name, health);
        self.suspects.remove(name);
        self.roster.bury(name, self.now + self.settings.remember_ms);
        if health == MemberState::Dead {
            self.contacts.lose(address);
        } else {
            self.contacts.found(address);
        }
        if lived {
            let event = if health == MemberState::Dead { Event::Died } else { Event::Left };
            self.journal.append(event(name.to_owned()));
            self.changes += 1;
            self.changed_at = self.now;
            self.rumours.push(name, self.now);
        }
    }

    /// The claim that the sender of one should know, if more is believed of it than it says itself.
    pub(crate) fn above(&self, claim: &Claim) -> Option<Claim> {
        let record = self.roster.get(&claim.name)?;
        let above = (record.key(), record.health) > (claim.key(), claim.health);
        (above && claim.health != MemberState::Left).then(|| record.claim())
    }

    fn hear_of_stranger(&mut self, claim: &Claim, via: Via) {
        // Dead that one hasn't known, or has forgotten, are let lie; a suspect is believed only in a list.
        let wanted = match claim.health {
            MemberState::Alive => true,
            MemberState::Suspect => via == Via::Page,
            MemberState::Dead | MemberState::Left => false,
        };
        if wanted && self.roster.has_room() {
            self.enter(claim, via);
            if claim.health == MemberState::Suspect {
                self.suspect(&claim.name);
            }
        }
    }

    /// A higher claim that the member lives.
    fn enter(&mut self, claim: &Claim, via: Via) {
        let peer = claim.peer();
        let old = self.roster.get(&claim.name);
        let known = old.is_some_and(|record| record.health.is_live() && record.peer == peer);
        if let Some(record) = old.filter(|record| record.peer.address != peer.address) {
            self.contacts.found(record.peer.address);
        }
        self.contacts.found(peer.address);
        self.roster.put(peer.clone(), claim.incarnation, MemberState::Alive);
        let suspected = self.suspects.remove(&claim.name).is_some();
        if !known {
            self.journal.append(Event::Joined(peer));
            self.ring.insert(&claim.name, &mut *self.generator);
        } else if suspected {
            self.journal.append(Event::Refuted(claim.name.clone()));
        }
        self.changes += 1;
        self.changed_at = self.now;
        if via != Via::Page {
            self.rumours.push(&claim.name, self.now);
        }
    }

    fn hear_of_me(&mut self, claim: &Claim) {
        let same = claim.instance_id == self.me.instance_id;
        if self.leaving || (same && !self.settings.refutes) {
            return;
        }
        // One's own former word, or an older life that is overridden already.
        if (same && claim.health == MemberState::Alive)
            || claim.key() < (self.incarnation, self.me.instance_id)
        {
            return;
        }
        self.incarnation = claim.incarnation.saturating_add(1).min(INCARNATION_MAX);
        self.roster.put(self.me.clone(), self.incarnation, MemberState::Alive);
        self.changed_at = self.now;
        self.refuted = true;
    }

    /// Others say that one held for dead lives: it is asked, and refutes if it can.
    fn ask_dead(&mut self, name: &str) {
        if self.rechecks.len() < RECHECKS_MAX && !self.rechecks.iter().any(|known| known == name) {
            self.rechecks.push_back(name.to_owned());
        }
    }
}
