//! The numbering of the entries that are published here, and how far other nodes have them.

/// The versions of this process as a source. Both only rise, and `replicated` never exceeds `last`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PublishedVersions {
    last: u64,
    /// Up to which version another control node has the entries.
    replicated: u64,
}

impl PublishedVersions {
    /// The last version that was published; 0 if there is none.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// The version of an entry that is published now.
    pub(crate) fn next(&mut self) -> u64 {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// Up to which version another control node is known to have the entries; 0 if none has any.
    pub(crate) fn replicated(&self) -> u64 {
        self.replicated
    }

    /// Records that another control node has the entries up to a version. A version above the last one counts as the last
    /// one.
    pub(crate) fn raise_replicated(&mut self, version: u64) {
        self.replicated = self.replicated.max(version.min(self.last));
    }
}
