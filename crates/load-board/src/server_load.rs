//! What the board holds of one server.

/// A server's last figure and what this balancer has sent there since.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entry {
    last: f64,
    since: u32,
    /// Own ones that were out when the figure came: it has them in it.
    before: u32,
}

impl Entry {
    /// A fresh figure replaces the old one and zeroes the count. What is no figure changes nothing.
    pub fn report(&mut self, figure: f64) {
        if figure.is_finite() && figure >= 0.0 {
            self.last = figure;
            self.before = self.before.saturating_add(self.since);
            self.since = 0;
        }
    }

    /// One more has been sent there.
    pub fn sent(&mut self) {
        self.since = self.since.saturating_add(1);
    }

    /// One that was sent there is over. A board that counts sends only is never told.
    pub fn ended(&mut self) {
        // Danger: taken off the count, one from before the figure would hide one that was sent since. Which one
        // ended is not known; the oldest is taken for it.
        if self.before > 0 {
            self.before -= 1;
            self.last = (self.last - 1.0).max(0.0);
        } else {
            self.since = self.since.saturating_sub(1);
        }
    }

    /// What two candidates are compared by: the last figure plus own sends since.
    pub fn value(&self) -> f64 {
        self.last + f64::from(self.since)
    }

    /// Own sends since the last figure.
    pub fn since(&self) -> u32 {
        self.since
    }
}
