//! Entries, and what one process gives another.

use std::cmp::Ordering;

use minicbor::{Decode, Encode};

use crate::{Server, SourceId, VersionVector};

/// A server as one source has numbered it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// What is known of the server.
    #[n(0)]
    pub server: Server,
    /// Who made the entry.
    #[n(1)]
    pub source: SourceId,
    /// The number that its source gave it.
    #[n(2)]
    pub version: u64,
}

impl Entry {
    /// Whether this entry holds against another of the same instance: by sequence, then gone before draining
    /// before up, then silent before heard; the rest only makes the order total.
    pub fn supersedes(&self, other: &Entry) -> bool {
        self.rank(other) == Ordering::Greater
    }

    /// A tombstone holds no models.
    // Danger: to be done before entries are compared, or the form that is held loses against the one given.
    pub(crate) fn strip(&mut self) {
        if self.server.is_removed() {
            self.server.models = Vec::new();
        }
    }

    // Danger: has to stay a total order over everything but the warm-up, or processes that were given the same
    // entries in another order differ for good.
    fn rank(&self, other: &Entry) -> Ordering {
        let (a, b) = (&self.server, &other.server);
        (a.sequence.cmp(&b.sequence))
            .then_with(|| a.state.cmp(&b.state))
            .then_with(|| a.is_suspected.cmp(&b.is_suspected))
            .then_with(|| a.service.cmp(&b.service))
            .then_with(|| a.address.cmp(&b.address))
            .then_with(|| a.zone.cmp(&b.zone))
            .then_with(|| a.software_revision.cmp(&b.software_revision))
            .then_with(|| a.slots.cmp(&b.slots))
            .then_with(|| a.stage.cmp(&b.stage))
            .then_with(|| a.models.cmp(&b.models))
            .then_with(|| self.source.cmp(&other.source))
            .then_with(|| self.version.cmp(&other.version))
    }

    /// Part of the fingerprint of a register: FNV-1a, mixed.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let mut take = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
        };
        take(self.server.id.as_bytes());
        take(&self.server.sequence.to_le_bytes());
        take(&self.source.0.to_le_bytes());
        take(&self.version.to_le_bytes());
        hash ^= hash >> 30;
        hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash ^ (hash >> 27)
    }
}

/// What a puller lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Delta {
    /// Entries above the puller's vector, by source and version.
    #[n(0)]
    pub entries: Vec<Entry>,
    /// The vector that was shown: the delta covers what lies between it and `vector`. A process that has seen
    /// less takes the entries and claims nothing.
    #[n(1)]
    pub base: VersionVector,
    /// What the puller has seen after it took the entries in.
    #[n(2)]
    pub vector: VersionVector,
    /// The delta was cut; ask again.
    #[n(3)]
    pub is_truncated: bool,
    /// Of the giver's whole register. Who has seen the same and has another forgets its vector and asks again.
    #[n(4)]
    pub fingerprint: u64,
}

impl Delta {
    /// Whether it brings no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
