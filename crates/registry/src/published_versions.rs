//! The versions of the entries that this process publishes, and how far they are replicated.

/// The versions of this process as a source. Both only increase, and `replicated` never exceeds `last`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PublishedVersions {
    last: u64,
    /// The version up to which another control node has the entries.
    replicated: u64,
}

impl PublishedVersions {
    /// Returns the last published version; 0 if there is none.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Allocates the version for a new entry.
    pub(crate) fn next(&mut self) -> u64 {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// Returns the version up to which another control node is known to have the entries; 0 if there is none.
    pub(crate) fn replicated(&self) -> u64 {
        self.replicated
    }

    /// Records that another control node has the entries up to a version, which is capped at the last
    /// published version.
    pub(crate) fn raise_replicated(&mut self, version: u64) {
        self.replicated = self.replicated.max(version.min(self.last));
    }
}
