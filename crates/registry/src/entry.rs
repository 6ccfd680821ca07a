//! An entry of the registry and the total order of the entries of one server.

use std::cmp::Ordering;

use minicbor::{Decode, Encode};

use crate::{Server, SourceId};

/// The state of a server as one source published it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// The known state of the server.
    #[n(0)]
    pub server: Server,
    /// The source that published the entry.
    #[n(1)]
    pub source: SourceId,
    /// The number of the entry among those that the source has published, from 1. No two entries of a source
    /// have the same version.
    #[n(2)]
    pub version: u64,
}

impl Entry {
    /// Returns true if this entry replaces another one of the same instance. The higher sequence number takes
    /// precedence, then removed over draining over up, then suspected over not suspected. The remaining
    /// fields only make the order total.
    pub fn supersedes(&self, other: &Entry) -> bool {
        self.precedence(other) == Ordering::Greater
    }

    /// Drops the models of a tombstone. Entries are normalized before they are compared: an entry that still
    /// has its models would supersede its stored, normalized form and replace it each time.
    pub(crate) fn normalize(&mut self) {
        if self.server.is_removed() {
            self.server.models = Vec::new();
        }
    }

    /// Compares all fields except the id, which is the same, and the warm-up. If any other field were left
    /// out, processes that receive the same entries in a different order could permanently store different
    /// ones.
    fn precedence(&self, other: &Entry) -> Ordering {
        let (server, other_server) = (&self.server, &other.server);
        (server.sequence.cmp(&other_server.sequence))
            .then_with(|| server.state.cmp(&other_server.state))
            .then_with(|| server.is_suspected.cmp(&other_server.is_suspected))
            .then_with(|| server.service.cmp(&other_server.service))
            .then_with(|| server.address.cmp(&other_server.address))
            .then_with(|| server.zone.cmp(&other_server.zone))
            .then_with(|| server.software_revision.cmp(&other_server.software_revision))
            .then_with(|| server.slots.cmp(&other_server.slots))
            .then_with(|| server.stage.cmp(&other_server.stage))
            .then_with(|| server.models.cmp(&other_server.models))
            .then_with(|| self.source.cmp(&other.source))
            .then_with(|| self.version.cmp(&other.version))
    }

    /// Returns the contribution of the entry to the fingerprint of a registry, which is the XOR over its
    /// entries: FNV-1a over id, sequence, source and version, followed by the first steps of the splitmix64
    /// finalizer.
    pub(crate) fn fingerprint(&self) -> u64 {
        const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
        const SPLITMIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
        let mut hash = FNV_OFFSET_BASIS;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
        };
        add(self.server.id.as_bytes());
        add(&self.server.sequence.to_le_bytes());
        add(&self.source.0.to_le_bytes());
        add(&self.version.to_le_bytes());
        hash ^= hash >> 30;
        hash = hash.wrapping_mul(SPLITMIX_MULTIPLIER);
        hash ^ (hash >> 27)
    }
}
