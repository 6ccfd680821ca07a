//! A queue of simulated events, ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Scheduled events, ordered by time and then by the order of scheduling.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    entries: BinaryHeap<Reverse<(u64, u64, E)>>,
    scheduled_count: u64,
}

impl<E: Ord> Default for EventQueue<E> {
    fn default() -> Self {
        Self { entries: BinaryHeap::new(), scheduled_count: 0 }
    }
}

impl<E: Ord> EventQueue<E> {
    /// Schedules an event at a time in milliseconds.
    pub(crate) fn schedule(&mut self, at_millis: f64, event: E) {
        self.scheduled_count += 1;
        let at_micros = (at_millis * MICROS_PER_MILLI) as u64;
        self.entries.push(Reverse((at_micros, self.scheduled_count, event)));
    }

    /// Removes the next event and returns it with its time in milliseconds.
    pub(crate) fn pop(&mut self) -> Option<(f64, E)> {
        let Reverse((at_micros, _, event)) = self.entries.pop()?;
        Some((at_micros as f64 / MICROS_PER_MILLI, event))
    }
}
