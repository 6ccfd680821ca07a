//! Events of a simulation in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use mosshead_time::Instant;

/// Returns events in the order of their instants; those of one instant in the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    events: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    last_sequence: u64,
}

struct ScheduledEvent<E> {
    due_at: Instant,
    sequence: u64,
    event: E,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue { events: BinaryHeap::new(), last_sequence: 0 }
    }

    pub(crate) fn schedule(&mut self, due_at: Instant, event: E) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent { due_at, sequence: self.last_sequence, event }));
    }

    /// Removes the first event that is due at an instant or before it.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<(Instant, E)> {
        if self.events.peek()?.0.due_at > now {
            return None;
        }
        self.events.pop().map(|Reverse(scheduled)| (scheduled.due_at, scheduled.event))
    }
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due_at, self.sequence).cmp(&(other.due_at, other.sequence))
    }
}
