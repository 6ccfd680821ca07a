//! What a policy's limits leave: a budget of retries, and room for jobs out at once.

use mosshead_site::Limits;
use mosshead_units::Time;

/// First tries count for so long.
const LIFE: Time = Time::from_millis(10_000);
/// So many retries are granted in any case: a budget of a trickle would round to none.
const LEAST: f64 = 3.0;

/// A job that is out under a policy; give it back with [`Ledger::done`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a job that is never given back holds its room for good"]
pub struct Taken(());

/// The account of one policy.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    out: u32,
    /// First tries and retries of late, each fading over [`LIFE`].
    tries: f64,
    retries: f64,
    at: Time,
}

impl Ledger {
    /// A fresh account.
    pub fn new(limits: Limits) -> Self {
        Self { limits, out: 0, tries: 0.0, retries: 0.0, at: Time::ZERO }
    }

    /// Other limits from now on; what is out stays counted.
    pub fn renew(&mut self, limits: Limits) {
        self.limits = limits;
    }

    fn fade(&mut self, now: Time) {
        let gone = (now - self.at).as_seconds() / LIFE.as_seconds();
        let left = (-gone).exp();
        self.tries *= left;
        self.retries *= left;
        self.at = self.at.max(now);
    }

    /// Takes a job in, if there is room for one more.
    pub fn take(&mut self, now: Time) -> Option<Taken> {
        if self.limits.concurrency.is_some_and(|most| self.out >= most) {
            return None;
        }
        self.fade(now);
        self.tries += 1.0;
        self.out += 1;
        Some(Taken(()))
    }

    /// A job is over.
    pub fn done(&mut self, taken: Taken) {
        let Taken(()) = taken;
        debug_assert!(self.out > 0, "more jobs given back than were taken");
        self.out = self.out.saturating_sub(1);
    }

    /// Whether a job that has had so many attempts may have another; it counts if so.
    pub fn retry(&mut self, now: Time, attempts: u32) -> bool {
        if self.limits.attempts.is_some_and(|most| attempts >= most) {
            return false;
        }
        self.fade(now);
        let granted =
            self.limits.retry_budget.is_none_or(|part| self.retries + 1.0 <= LEAST.max(part.0 * self.tries));
        if granted {
            self.retries += 1.0;
        }
        granted
    }

    /// Jobs out at present.
    pub fn out(&self) -> u32 {
        self.out
    }
}
