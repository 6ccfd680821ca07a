//! The queue of pending events: by instant, and in the order of entry where instants are equal.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::Time;

struct Entry<E> {
    at: Time,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A queue of events in virtual time. Events at the same instant come out in the order in which they were entered: neither a
/// hash nor the heap decides, or days would not be repeatable.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    next_order: u64,
    now: Time,
    popped: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), next_order: 0, now: Time::ZERO, popped: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Enters an event. One that lies in the past is due now: time only moves forward.
    pub fn push(&mut self, at: Time, event: E) {
        self.next_order += 1;
        self.heap.push(Reverse(Entry { at: at.max(self.now), order: self.next_order, event }));
    }

    /// When the next event is due.
    pub fn next_at(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(entry)| entry.at)
    }

    /// Takes out the next event, if it is due no later than `until`.
    pub fn pop(&mut self, until: Time) -> Option<(Time, E)> {
        if self.next_at()? > until {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        debug_assert!(entry.at >= self.now, "time moved back");
        self.now = entry.at;
        self.popped += 1;
        Some((entry.at, entry.event))
    }

    /// How many events were taken out so far.
    pub fn popped_count(&self) -> u64 {
        self.popped
    }

    /// How many events are pending.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
