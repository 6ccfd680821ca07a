//! Which ids are taken: by jobs that are held, and by jobs that went out not long ago and may have run.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// The ids that no newcomer may bring. Danger: an execute node takes a second job of the same id for the same
/// job sent again.
pub(crate) struct Ids {
    taken: HashSet<u64>,
    /// Those of jobs that are over, until when each is kept.
    over: VecDeque<(Instant, u64)>,
    keep: Duration,
}

impl Ids {
    /// `keep`: for how long a job that is over may still run somewhere.
    pub(crate) fn new(keep: Duration) -> Self {
        Self { taken: HashSet::new(), over: VecDeque::new(), keep }
    }

    /// Later jobs may run for so long.
    pub(crate) fn keep(&mut self, keep: Duration) {
        // Danger: shortened, an id that is kept longer would stand before one that is due.
        self.keep = self.keep.max(keep);
    }

    /// Takes an id; false if it is taken already.
    pub(crate) fn take(&mut self, id: u64, now: Instant) -> bool {
        while let Some((until, over)) = self.over.front().copied()
            && until <= now
        {
            self.over.pop_front();
            self.taken.remove(&over);
        }
        self.taken.insert(id)
    }

    /// The job is over. One that was never sent leaves its id free at once.
    pub(crate) fn release(&mut self, id: u64, sent: bool, now: Instant) {
        if sent {
            self.over.push_back((now + self.keep, id));
        } else {
            self.taken.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a job that runs twice, and against ids that pile up.
    #[test]
    fn an_id_is_free_again_once_its_job_cannot_run_any_more() {
        let (now, keep) = (Instant::now(), Duration::from_secs(6));
        let mut ids = Ids::new(keep);
        assert!(ids.take(1, now) && !ids.take(1, now));
        ids.release(1, false, now);
        assert!(ids.take(1, now), "it was never sent");
        ids.release(1, true, now);
        assert!(!ids.take(1, now + keep / 2) && ids.take(1, now + keep));
        ids.release(1, true, now + keep);
        assert!(ids.take(2, now + 3 * keep) && ids.taken.len() == 1 && ids.over.is_empty());
    }
}
