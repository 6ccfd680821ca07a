//! A list of the live members, built from events.

use std::collections::BTreeMap;

use crate::event_log::Event;
use crate::peer::{MemberState, Peer};

/// The live members by name. After all events are applied, it equals the live ones of
/// [`Membership::members`](crate::Membership::members), unless it [is stale](View::is_stale).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: BTreeMap<String, (Peer, MemberState)>,
    is_stale: bool,
}

impl View {
    /// Applies one event. Events must be applied in the order in which they were drained.
    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Joined(peer) => {
                self.members.insert(peer.name.clone(), (peer.clone(), MemberState::Alive));
            }
            Event::Suspected(name) => self.set_state(name, MemberState::Suspect),
            Event::Refuted(name) => self.set_state(name, MemberState::Alive),
            Event::Died(name) | Event::Left(name) => {
                self.members.remove(name);
            }
            Event::Overflowed => self.is_stale = true,
        }
    }

    /// Rebuilds the view from all members, after [`Event::Overflowed`].
    pub fn rebuild<'a>(&mut self, members: impl Iterator<Item = (&'a Peer, MemberState)>) {
        self.members = members
            .filter(|(_, state)| state.is_live())
            .map(|(peer, state)| (peer.name.clone(), (peer.clone(), state)))
            .collect();
        self.is_stale = false;
    }

    /// True if events were dropped since the view was last rebuilt.
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// The members that are alive or suspect, sorted by name, including the local one.
    pub fn live_members(&self) -> impl Iterator<Item = (&Peer, MemberState)> {
        self.members.values().map(|(peer, state)| (peer, *state))
    }

    fn set_state(&mut self, name: &str, new_state: MemberState) {
        if let Some((_, state)) = self.members.get_mut(name) {
            *state = new_state;
        }
    }
}
