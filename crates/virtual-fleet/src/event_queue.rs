use std::collections::BTreeMap;

use mosshead_time::{Duration, Instant};

/// The events that are still to come, and the virtual clock that they advance.
///
/// Events come in the order of their instants; those of one instant in the order in which they were scheduled.
pub struct EventQueue<E> {
    now: Instant,
    /// By instant and by the number of the event, which rises with each one scheduled.
    scheduled: BTreeMap<(Instant, u64), E>,
    next_number: u64,
}

impl<E> EventQueue<E> {
    /// No events, and a clock that shows `start`.
    pub fn new(start: Instant) -> EventQueue<E> {
        EventQueue { now: start, scheduled: BTreeMap::new(), next_number: 0 }
    }

    /// What the virtual clock shows.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Schedules an event for this span after now.
    pub fn schedule_after(&mut self, span: Duration, event: E) {
        self.scheduled.insert((self.now + span, self.next_number), event);
        self.next_number += 1;
    }

    /// Takes the next event if it comes at `end` or before, and advances the clock to it.
    pub fn next_until(&mut self, end: Instant) -> Option<E> {
        let first = self.scheduled.first_entry()?;
        let (at, _) = *first.key();
        if at > end {
            return None;
        }
        self.now = at;
        Some(first.remove())
    }

    /// Advances the clock to `end`, once all events until then have been taken; it never goes back.
    pub fn advance_to(&mut self, end: Instant) {
        self.now = self.now.max(end);
    }
}
