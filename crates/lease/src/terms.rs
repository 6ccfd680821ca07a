//! Times, tokens, and the figures that a duty is held by.

/// An instant, in microseconds, on a clock that goes on while the process or its machine is stopped.
///
/// Danger: on a clock that stands still meanwhile a permit would outlive the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(pub u64);

impl Instant {
    /// So many microseconds later.
    pub fn after(self, micros: u64) -> Self {
        Self(self.0.saturating_add(micros))
    }
}

/// What fences an act: the epoch that operators have given the store, and the store's revision when the duty was taken. Epochs come
/// first, so that a store which has lost its state, or came back with an older one, can be given a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The store's epoch; 0 where nobody has given it one.
    pub epoch: u64,
    /// The store's revision.
    pub revision: u64,
}

/// The figures that a duty is held by. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long the store keeps a lease that is not renewed.
    pub lease: u64,
    /// By how many parts in a million this machine's clock may run slower than the store's.
    pub drift: u64,
    /// How long after a renewal was sent the next one is due.
    pub renew: u64,
    /// The least wait after a call that failed, and the span over which such waits are spread beyond it.
    pub again: u64,
}

impl Terms {
    /// How long a lease that was asked for at one instant may be acted under, from that instant on.
    pub fn usable(&self) -> u64 {
        self.lease - self.slower(self.lease)
    }

    /// How long to wait, by this clock, until a lease of which nothing more is known has ended.
    pub fn over(&self) -> u64 {
        self.lease + self.slower(self.lease)
    }

    fn slower(&self, span: u64) -> u64 {
        (span / 1_000_000).saturating_mul(self.drift)
            + (span % 1_000_000) * self.drift.min(1_000_000) / 1_000_000
    }
}
