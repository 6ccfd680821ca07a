//! What one process sends another to bring its registry up to date.

use minicbor::{Decode, Encode};

use crate::{Entry, VersionVector};

/// The entries that another process is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Delta {
    /// Entries above `base`, sorted by source and version.
    #[n(0)]
    pub entries: Vec<Entry>,
    /// The vector that the receiver has shown. The delta is complete between it and `vector` only: a process whose own
    /// vector is below `base` takes the entries, but must not advance its vector.
    #[n(1)]
    pub base: VersionVector,
    /// The receiver's vector once it has merged the entries.
    #[n(2)]
    pub vector: VersionVector,
    /// The delta was truncated at the bound on its entries: there is more to request.
    #[n(3)]
    pub is_truncated: bool,
    /// Fingerprint of the sender's whole registry. A receiver that has the same vector and another fingerprint has
    /// diverged, and resets its vector to receive everything anew.
    #[n(4)]
    pub fingerprint: u64,
}

impl Delta {
    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
