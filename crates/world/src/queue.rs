//! The queue of what happens: by instant, and in the order of entry where instants are equal.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::Time;

struct Entry<E> {
    at: Time,
    order: u64,
    what: E,
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

/// A queue of events. Two at one instant come out in the order in which they went in: nothing else, and no
/// hash, decides.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    order: u64,
    now: Time,
    taken: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), order: 0, now: Time::ZERO, taken: 0 }
    }
}

impl<E> Queue<E> {
    /// Enters an event. One that lies in the past happens now: time only moves forward.
    pub fn push(&mut self, at: Time, what: E) {
        self.order += 1;
        self.heap.push(Reverse(Entry { at: at.max(self.now), order: self.order, what }));
    }

    /// When the next event happens.
    pub fn next(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(entry)| entry.at)
    }

    /// The next event that happens no later than `until`.
    pub fn pop(&mut self, until: Time) -> Option<(Time, E)> {
        if self.next()? > until {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        debug_assert!(entry.at >= self.now, "time moved back");
        self.now = entry.at;
        self.taken += 1;
        Some((entry.at, entry.what))
    }

    /// How many events have come out so far.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// How many events are due.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is due.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards determinism: an order among equals that the heap picks would leak into results.
    #[test]
    fn equal_instants_keep_the_order_of_entry() {
        let mut queue = Queue::default();
        for what in 0..100 {
            queue.push(Time(what % 3), what);
        }
        let all: Vec<_> = std::iter::from_fn(|| queue.pop(Time::NEVER)).collect();
        let mut sorted = all.clone();
        sorted.sort();
        assert_eq!(all, sorted);
        queue.push(Time(0), 7);
        assert_eq!(queue.pop(Time::NEVER), Some((Time(2), 7)), "the past happens now");
    }
}
