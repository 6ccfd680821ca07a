//! Changes of the membership in the order in which they became known.

use std::collections::VecDeque;

use crate::peer::Peer;

/// A change of what is believed about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is there: a new one, one that came back, or another instance under a known name.
    Joined(Peer),
    /// The member of that name didn't answer a probe.
    Suspected(String),
    /// The suspect of that name refuted.
    Refuted(String),
    /// The suspect of that name didn't refute in time.
    Died(String),
    /// The member of that name announced its shutdown.
    Left(String),
    /// Earlier events were dropped, since the host hadn't drained them: it has to read all members again.
    Overflowed,
}

/// Bound of the events that wait for the host.
const MAX_EVENTS: usize = 8_192;

/// Events that the host hasn't taken yet.
#[derive(Default)]
pub(crate) struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    /// Appends an event; if there are too many already, [`Event::Overflowed`] replaces them.
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
