//! What became known, in order, and the view that is folded from it.

use std::collections::{BTreeMap, VecDeque};

use crate::peer::{MemberState, Peer};

/// A change of what is believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is there: a new one, one that came back, or another life of a known name in its place.
    Joined(Peer),
    /// The member of that name doesn't answer.
    Suspected(String),
    /// The suspect of that name refuted.
    Refuted(String),
    /// The suspect of that name didn't refute in time.
    Died(String),
    /// The member of that name told of its end.
    Left(String),
    /// The host hasn't drained for long and events were dropped: read `members()` anew.
    Overflowed,
}

const EVENTS_MAX: usize = 8_192;

#[derive(Default)]
pub(crate) struct Journal {
    events: VecDeque<Event>,
}

impl Journal {
    pub(crate) fn append(&mut self, event: Event) {
        if self.events.len() >= EVENTS_MAX {
            self.events.clear();
            self.events.push_back(Event::Overflowed);
        }
        self.events.push_back(event);
    }

    pub(crate) fn drain(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }
}

/// Who lives, folded from events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: BTreeMap<String, (Peer, MemberState)>,
    stale: bool,
}

impl View {
    /// Takes one event in.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Joined(peer) => {
                self.members.insert(peer.name.clone(), (peer.clone(), MemberState::Alive));
            }
            Event::Suspected(name) => self.mark(name, MemberState::Suspect),
            Event::Refuted(name) => self.mark(name, MemberState::Alive),
            Event::Died(name) | Event::Left(name) => {
                self.members.remove(name);
            }
            Event::Overflowed => self.stale = true,
        }
    }

    /// Takes the whole list in, after [`Event::Overflowed`].
    pub fn rebuild<'a>(&mut self, members: impl Iterator<Item = (&'a Peer, MemberState)>) {
        self.members = members
            .filter(|(_, health)| health.is_live())
            .map(|(peer, health)| (peer.name.clone(), (peer.clone(), health)))
            .collect();
        self.stale = false;
    }

    /// Whether events were dropped since the last refill.
    pub fn is_stale(&self) -> bool {
        self.stale
    }

    /// Alive and suspect members by name, oneself included.
    pub fn live_members(&self) -> impl Iterator<Item = (&Peer, MemberState)> {
        self.members.values().map(|(peer, health)| (peer, *health))
    }

    fn mark(&mut self, name: &str, to: MemberState) {
        if let Some((_, health)) = self.members.get_mut(name) {
            *health = to;
        }
    }
}
