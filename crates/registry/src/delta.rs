//! The message by which one process brings the registry of another up to date.

use minicbor::{Decode, Encode};

use crate::{Entry, VersionVector};

/// The entries that another process is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Delta {
    /// Entries above `base`, sorted by source and version.
    #[n(0)]
    pub entries: Vec<Entry>,
    /// The receiver's vector when it requested the delta. The delta is complete only between it and `vector`:
    /// a process whose own vector is below `base` merges the entries, but must not advance its vector.
    #[n(1)]
    pub base: VersionVector,
    /// The receiver's vector once it has merged the entries.
    #[n(2)]
    pub vector: VersionVector,
    /// True if the delta was truncated at the maximum number of entries: the receiver has to request the
    /// rest.
    #[n(3)]
    pub is_truncated: bool,
    /// Fingerprint of the sender's whole registry. A receiver with the same vector and a different
    /// fingerprint has diverged, and resets its vector to receive all entries again.
    #[n(4)]
    pub fingerprint: u64,
}

impl Delta {
    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
