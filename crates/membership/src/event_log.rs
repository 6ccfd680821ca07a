//! The changes of the membership, in the order in which the local member learned of them.

use std::collections::VecDeque;

use crate::peer::Peer;

/// A change of a member's state, as the local member knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is live: a new one, one that came back, or a new instance of a known name.
    Joined(Peer),
    /// The member with this name did not acknowledge a probe.
    Suspected(String),
    /// The suspect with this name has refuted the suspicion.
    Refuted(String),
    /// The suspect with this name did not refute in time.
    Died(String),
    /// The member with this name has announced its shutdown.
    Left(String),
    /// Earlier events were dropped, because the host did not drain them. It must read all members again.
    Overflowed,
}

/// The maximum number of events that wait for the host.
const MAX_EVENTS: usize = 8_192;

/// The events that the host has not drained yet.
#[derive(Default)]
pub(crate) struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    /// Appends an event. If there are already too many, [`Event::Overflowed`] replaces them.
    pub(crate) fn append(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.clear();
            self.events.push_back(Event::Overflowed);
        }
        self.events.push_back(event);
    }

    /// Takes all events.
    pub(crate) fn drain(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }
}
