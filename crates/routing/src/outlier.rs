//! What a proxy's own sends say of a server.

use crate::Millis;

/// How a send failed that says something of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// No connection came up, or the machine acknowledged nothing.
    Unreachable,
    /// It reset, broke off or sent what is no answer.
    Broken,
    /// It answered with a failure of its own.
    Failed,
    /// It said that it is full.
    Full,
    /// Another instance answers at its address.
    Elsewhere,
}

/// How long a server is left alone at first, and at most.
const REST: Millis = 500;
const REST_MOST: Millis = 4000;
/// A full one.
const FULL_REST: Millis = 60;
/// Faults that may be chance: so many more than successes before a server is left alone.
const DOUBT: f64 = 3.0;

/// One server's record.
#[derive(Clone, Debug, Default)]
pub struct OutlierRecord {
    doubt: f64,
    strikes: u32,
    until: Millis,
    trial: bool,
}

impl OutlierRecord {
    /// Whether it may be sent to. After a rest one request goes first.
    pub fn open(&self, now: Millis) -> bool {
        now >= self.until && !self.trial
    }

    /// Whether it rests; a trial that is under way does not count.
    pub fn sound(&self, now: Millis) -> bool {
        now >= self.until
    }

    /// It is chosen: after a rest this is its trial.
    pub fn chosen(&mut self) {
        self.trial = self.strikes > 0;
    }

    /// A request there was answered.
    pub fn served(&mut self) {
        self.doubt = (self.doubt - 0.5).max(0.0);
        (self.strikes, self.trial, self.until) = (0, false, 0);
    }

    /// A send failed.
    pub fn failed(&mut self, now: Millis, fault: ServerFailure) {
        self.trial = false;
        match fault {
            ServerFailure::Full => self.until = self.until.max(now + FULL_REST),
            ServerFailure::Unreachable | ServerFailure::Elsewhere => self.rest(now),
            ServerFailure::Broken | ServerFailure::Failed => {
                self.doubt += 1.0;
                if self.doubt >= DOUBT || self.strikes > 0 {
                    self.rest(now);
                }
            }
        }
    }

    /// A trial ended without a word on the server.
    pub fn unknown(&mut self) {
        self.trial = false;
    }

    fn rest(&mut self, now: Millis) {
        if now < self.until {
            return;
        }
        self.until = now + (REST << self.strikes.min(3)).min(REST_MOST);
        self.strikes += 1;
    }
}
