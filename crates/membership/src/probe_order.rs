//! The order in which members are probed.

use std::collections::{BTreeSet, VecDeque};

use rand_core::RngCore;

use crate::random::{index, shuffle};

/// The maximum number of dead members that are queued to be pinged again.
const MAX_DEAD_RECHECKS: usize = 256;

/// Round-robin probe target selection, as in section 4.3 of the SWIM paper. In each round every other member is
/// probed once, in a random order. A new member is inserted at a random position of the rest of the round.
#[derive(Default)]
pub(crate) struct ProbeOrder {
    /// The current round. Members that are no longer live stay in it until its end.
    names: Vec<String>,
    /// The same names as a set.
    name_set: BTreeSet<String>,
    /// The position of the next target in `names`; at most its length.
    position: usize,
    /// Live members to probe before all others.
    rechecks: VecDeque<String>,
    /// Dead members that other members report as live. They are pinged in addition to the probe of the period.
    dead_rechecks: VecDeque<String>,
}

impl ProbeOrder {
    /// Adds a member, unless it is already in the round.
    pub(crate) fn insert(&mut self, name: &str, rng: &mut dyn RngCore) {
        if self.name_set.insert(name.to_owned()) {
            let position = self.position + index(rng, self.names.len() + 1 - self.position);
            self.names.insert(position.min(self.names.len()), name.to_owned());
        }
    }

    /// Queues a live member to be probed before all others.
    pub(crate) fn queue_recheck(&mut self, name: &str) {
        if self.name_set.contains(name) && !self.rechecks.iter().any(|queued| queued == name) {
            self.rechecks.push_back(name.to_owned());
        }
    }

    /// Queues a dead member to be pinged, so that it can refute.
    pub(crate) fn queue_dead_recheck(&mut self, name: &str) {
        let is_queued = self.dead_rechecks.iter().any(|queued| queued == name);
        if self.dead_rechecks.len() < MAX_DEAD_RECHECKS && !is_queued {
            self.dead_rechecks.push_back(name.to_owned());
        }
    }

    /// Removes and returns the next dead member to ping.
    pub(crate) fn pop_dead_recheck(&mut self) -> Option<String> {
        self.dead_rechecks.pop_front()
    }

    /// The next live member to probe. At the end of a round, members that are no longer live are dropped.
    pub(crate) fn next(&mut self, is_live: impl Fn(&str) -> bool, rng: &mut dyn RngCore) -> Option<String> {
        while let Some(name) = self.rechecks.pop_front() {
            if is_live(&name) {
                return Some(name);
            }
        }
        // The rest of this round, then a complete one.
        for _ in 0..2 {
            while let Some(name) = self.names.get(self.position) {
                self.position += 1;
                if is_live(name) {
                    return Some(name.clone());
                }
            }
            self.begin_round(&is_live, rng);
        }
        None
    }

    /// A random name, whose member may no longer be live.
    pub(crate) fn draw(&self, rng: &mut dyn RngCore) -> Option<&String> {
        self.names.get(index(rng, self.names.len()))
    }

    fn begin_round(&mut self, is_live: impl Fn(&str) -> bool, rng: &mut dyn RngCore) {
        self.names.retain(|name| is_live(name));
        self.name_set = self.names.iter().cloned().collect();
        shuffle(rng, &mut self.names);
        self.position = 0;
    }
}
