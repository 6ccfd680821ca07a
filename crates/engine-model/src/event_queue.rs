//! Events in the order of their time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// What is to happen, by time and then by the order of scheduling.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    entries: BinaryHeap<Reverse<(u64, u64, E)>>,
    scheduled: u64,
}

impl<E: Ord> Default for EventQueue<E> {
    fn default() -> Self {
        Self { entries: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<E: Ord> EventQueue<E> {
    /// Schedules an event.
    pub(crate) fn schedule(&mut self, at_millis: f64, event: E) {
        self.scheduled += 1;
        let at_micros = (at_millis * MICROS_PER_MILLI) as u64;
        self.entries.push(Reverse((at_micros, self.scheduled, event)));
    }

    /// Takes the next event, with its time in milliseconds.
    pub(crate) fn pop(&mut self) -> Option<(f64, E)> {
        let Reverse((at_micros, _, event)) = self.entries.pop()?;
        Some((at_micros as f64 / MICROS_PER_MILLI, event))
    }
}
