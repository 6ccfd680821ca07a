//! The order in which members are probed.

use std::collections::{BTreeSet, VecDeque};

use rand_core::RngCore;

use crate::random::{index, shuffle};

/// Bound of the dead members that wait to be pinged again.
const MAX_DEAD_RECHECKS: usize = 256;

/// Round-robin probe target selection, section 4.3 of the SWIM paper: in a round each other member is probed once, in a
/// random order. A new member is inserted at a random position of what is left of the round.
#[derive(Default)]
pub(crate) struct ProbeOrder {
    /// The present round. Members that are no longer live stay in it up to its end.
    names: Vec<String>,
    /// The same names as a set.
    name_set: BTreeSet<String>,
    /// Position of the next target in `names`; at most its length.
    position: usize,
    /// Live members that are probed before all others.
    rechecks: VecDeque<String>,
    /// Members believed dead that others say are live; they are pinged besides the probe of the period.
    dead_rechecks: VecDeque<String>,
}

impl ProbeOrder {
    /// Adds a member, unless it is in the round already.
    pub(crate) fn insert(&mut self, name: &str, rng: &mut dyn RngCore) {
        if self.name_set.insert(name.to_owned()) {
            let position = self.position + index(rng, self.names.len() + 1 - self.position);
            self.names.insert(position.min(self.names.len()), name.to_owned());
        }
    }

    /// Has a live member probed before all others.
    pub(crate) fn queue_recheck(&mut self, name: &str) {
        if self.name_set.contains(name) && !self.rechecks.iter().any(|queued| queued == name) {
            self.rechecks.push_back(name.to_owned());
        }
    }

    /// Has a member that is believed dead pinged, so that it refutes if it can.
    pub(crate) fn queue_dead_recheck(&mut self, name: &str) {
        let is_queued = self.dead_rechecks.iter().any(|queued| queued == name);
        if self.dead_rechecks.len() < MAX_DEAD_RECHECKS && !is_queued {
            self.dead_rechecks.push_back(name.to_owned());
        }
    }

    /// The next member believed dead that is to be pinged.
    pub(crate) fn pop_dead_recheck(&mut self) -> Option<String> {
        self.dead_rechecks.pop_front()
    }

    /// The next live member to probe. At the end of a round those that aren't live any more are dropped.
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

    /// Any of the names, which need not be live any more.
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
