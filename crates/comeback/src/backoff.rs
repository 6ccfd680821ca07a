//! When the list is called for again after a call has failed.

/// Callers that failed together come back at one for this share of the time allowed between calls: nobody knows how
/// many calls the directory answers, so few are reckoned with.
const EACH: f64 = 0.02;
/// So many may call at once.
const FEW: f64 = 20.0;
/// The first wait is at least this share of that time in the mean,
const LEAST: f64 = 0.05;
/// and at most this one,
const MOST: f64 = 0.4;
/// doubled with each failure in a row so many times at most: nobody may go without asking for four times that time.
const DOUBLINGS: u32 = 2;

/// The pace of one caller.
///
/// Danger: a directory that works through calls in turn also works through those whose callers have given up. A fleet
/// whose failed calls come again too soon keeps it busy with these, and hardly anybody is ever answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    failures: u32,
}

impl Pace {
    /// The span over which the first calls of a life are spread, where a list of hearsay can be served by meanwhile: a few may call
    /// at once, more are spread like those that have failed.
    pub fn first(&self, within: f64, fleet: f64) -> f64 {
        within * (EACH * (fleet - FEW)).clamp(0.0, MOST)
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// A call has failed: the wait before the next one. `within` is the time allowed between calls, `fleet` how many call,
    /// as far as that is known, `chance` a draw from 0 to 1.
    pub fn failed(&mut self, within: f64, fleet: f64, chance: f64) -> f64 {
        let doubled = f64::from(1_u32 << self.failures.min(DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let share = (EACH * fleet).clamp(LEAST, MOST);
        within * share * doubled * (0.5 + chance)
    }
}

/// A watch that has fallen silent.
///
/// Danger: a call that was answered with a failure tells of a directory that is down or overbooked, and has to be paced. One that
/// nobody answers, long after the directory would have failed it, tells of a broken watch alone: what it misses counts as told
/// within half a second, and a pause puts off the word that everybody else has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    reopened: bool,
}

impl Silence {
    /// A call was answered.
    pub fn answered(&mut self) {
        self.reopened = false;
    }

    /// A watch was given up without an answer: whether it is to be opened anew at once. One that is silent again is a failure.
    pub fn reopens(&mut self) -> bool {
        !std::mem::replace(&mut self.reopened, true)
    }
}
