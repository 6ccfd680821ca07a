//! The queue of updates to disseminate, with the number of transmissions of each.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use mosshead_time::Instant;

/// Orders updates by their number of transmissions, then newest first. The derived order depends on the order of the
/// fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    transmissions: u32,
    /// The sequence number of the push; see [`GossipQueue::last_sequence`].
    sequence: Reverse<u64>,
}

/// The names whose current state is to be sent, the least transmitted first, as in section 4.1 of the SWIM paper.
#[derive(Default)]
pub(crate) struct GossipQueue {
    priorities: BTreeMap<String, Priority>,
    /// The content of `priorities`, in the order of sending.
    order: BTreeSet<(Priority, String)>,
    /// The same names by the sequence numbers of their pushes, oldest first.
    by_sequence: BTreeMap<u64, QueuedName>,
    /// The sequence number of the last push. It increases with time.
    last_sequence: u64,
}

struct QueuedName {
    name: String,
    queued_at: Instant,
}

impl GossipQueue {
    /// Queues the state of a name, with no transmissions yet.
    pub(crate) fn push(&mut self, name: &str, now: Instant) {
        self.remove(name);
        self.last_sequence += 1;
        let queued = QueuedName { name: name.to_owned(), queued_at: now };
        self.by_sequence.insert(self.last_sequence, queued);
        let priority = Priority { transmissions: 0, sequence: Reverse(self.last_sequence) };
        self.insert(name.to_owned(), priority);
    }

    /// Stops sending the state of a name.
    pub(crate) fn remove(&mut self, name: &str) {
        if let Some(priority) = self.priorities.remove(name) {
            self.order.remove(&(priority, name.to_owned()));
            self.by_sequence.remove(&priority.sequence.0);
        }
    }

    /// Drops updates queued before an instant. All members know them by then, or a sync will repair the difference.
    pub(crate) fn remove_queued_before(&mut self, instant: Instant) {
        while let Some(oldest) =
            self.by_sequence.first_entry().filter(|entry| entry.get().queued_at < instant)
        {
            let QueuedName { name, .. } = oldest.remove();
            self.remove(&name);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }

    /// The names in the order of sending.
    pub(crate) fn in_order(&self) -> impl Iterator<Item = &str> {
        self.order.iter().map(|(_, name)| name.as_str())
    }

    /// Counts one transmission of each name, and drops the names that have reached `limit` transmissions.
    pub(crate) fn record_transmissions(&mut self, names: &[String], limit: u32) {
        for name in names {
            let Some(priority) = self.priorities.get(name).copied() else { continue };
            let transmissions = priority.transmissions + 1;
            if transmissions >= limit {
                self.remove(name);
            } else {
                self.order.remove(&(priority, name.clone()));
                self.insert(name.clone(), Priority { transmissions, ..priority });
            }
        }
    }

    fn insert(&mut self, name: String, priority: Priority) {
        self.priorities.insert(name.clone(), priority);
        self.order.insert((priority, name));
    }
}
