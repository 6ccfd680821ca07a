//! What is believed about every name, with a digest of those that are live.

use core::net::SocketAddrV4;
use std::collections::{BTreeMap, VecDeque};

use mosshead_time::Instant;

use crate::peer::{MemberState, Peer};
use crate::wire::{BUCKET_HASH_LEN, BUCKETS, MemberUpdate, UpdateVersion};

/// What is believed about one name.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub(crate) peer: Peer,
    pub(crate) incarnation: u64,
    pub(crate) state: MemberState,
    /// [`hash_member`] of name, instance and incarnation.
    hash: u64,
    /// Bucket of the name, below [`BUCKETS`].
    bucket: usize,
}

impl MemberRecord {
    pub(crate) fn version(&self) -> UpdateVersion {
        UpdateVersion { incarnation: self.incarnation, instance_id: self.peer.instance_id }
    }

    pub(crate) fn update(&self) -> MemberUpdate {
        MemberUpdate::new(&self.peer, self.incarnation, self.state)
    }
}

/// Until when the record of a member that is dead or has left is retained.
struct Tombstone {
    expires_at: Instant,
    name: String,
}

/// All known members by name, the local one included.
pub(crate) struct MemberTable {
    records: BTreeMap<String, MemberRecord>,
    /// For each bucket the exclusive or (XOR) of the upper halves of its live members' hashes: XOR, so that a member is added
    /// and removed by the same operation, and the order does not matter.
    bucket_hashes: [u32; BUCKETS],
    /// The exclusive or (XOR) of all live members' hashes.
    digest: u64,
    live_member_count: usize,
    live_control_node_count: usize,
    /// In the order of expiry, at most one a name. A member that came back may still have one.
    tombstones: VecDeque<Tombstone>,
    /// Bound of `records`, see [`Settings::max_members`](crate::Settings::max_members).
    max_members: usize,
}

impl MemberTable {
    pub(crate) fn new(max_members: usize) -> MemberTable {
        MemberTable {
            records: BTreeMap::new(),
            bucket_hashes: [0; BUCKETS],
            digest: 0,
            live_member_count: 0,
            live_control_node_count: 0,
            tombstones: VecDeque::new(),
            max_members,
        }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&MemberRecord> {
        self.records.get(name)
    }

    pub(crate) fn is_live(&self, name: &str) -> bool {
        self.get(name).is_some_and(|record| record.state.is_live())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Number of the live members, the local one included.
    pub(crate) fn live_member_count(&self) -> usize {
        self.live_member_count
    }

    /// Number of the live members that are control nodes.
    pub(crate) fn live_control_node_count(&self) -> usize {
        self.live_control_node_count
    }

    /// Digest of the live members. Two members with the same live members, instances and incarnations have the same.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether a live member has this address.
    pub(crate) fn has_live_address(&self, address: SocketAddrV4) -> bool {
        self.iter().any(|record| record.peer.address == address && record.state.is_live())
    }

    /// Frees space for a name that isn't known yet, by dropping the oldest tombstones. Returns whether there is space.
    pub(crate) fn ensure_capacity(&mut self) -> bool {
        while self.records.len() >= self.max_members {
            let Some(tombstone) = self.tombstones.pop_front() else { return false };
            self.remove_unless_live(&tombstone.name);
        }
        true
    }

    /// Sets what is believed about a name.
    ///
    /// Every change of a record goes through here, and every removal through [`MemberTable::remove_unless_live`], since counts
    /// and hashes have to follow the records.
    pub(crate) fn put(&mut self, peer: Peer, incarnation: u64, state: MemberState) {
        let hash = hash_member(&peer.name, peer.instance_id, incarnation);
        let bucket = (hash_name(&peer.name) % BUCKETS as u64) as usize;
        let name = peer.name.clone();
        let record = MemberRecord { peer, incarnation, state, hash, bucket };
        self.add_to_totals(&record);
        if let Some(old) = self.records.insert(name, record) {
            self.subtract_from_totals(&old);
        }
    }

    /// Changes the state of a known name; an unknown one is ignored.
    pub(crate) fn set_state(&mut self, name: &str, state: MemberState) {
        if let Some(record) = self.records.get(name).cloned() {
            self.put(record.peer, record.incarnation, state);
        }
    }

    /// Retains the record of a member that is dead or has left until an instant. It must not be earlier than those of earlier
    /// calls, so that tombstones stay in the order of expiry.
    pub(crate) fn add_tombstone(&mut self, name: &str, expires_at: Instant) {
        self.tombstones.retain(|tombstone| tombstone.name != name);
        self.tombstones.push_back(Tombstone { expires_at, name: name.to_owned() });
    }

    /// Drops the members whose tombstones have expired.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        while self.next_expiry().is_some_and(|expires_at| expires_at <= now) {
            if let Some(tombstone) = self.tombstones.pop_front() {
                self.remove_unless_live(&tombstone.name);
            }
        }
    }

    /// When the next tombstone expires.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.tombstones.front().map(|tombstone| tombstone.expires_at)
    }

    /// The hashes of all buckets as they are sent: big-endian, [`BUCKET_HASH_LEN`] bytes each.
    pub(crate) fn encoded_bucket_hashes(&self) -> Vec<u8> {
        self.bucket_hashes.iter().flat_map(|hash| hash.to_be_bytes()).collect()
    }

    /// At most `max_updates` updates, about the names in those buckets whose hashes differ from another member's. The buckets
    /// are taken in turn from `first_bucket` on, and those before it last.
    pub(crate) fn differing_updates(
        &self,
        remote_bucket_hashes: &[u8],
        first_bucket: usize,
        max_updates: usize,
    ) -> Vec<MemberUpdate> {
        let mut is_bucket_differing = [false; BUCKETS];
        let hashes = remote_bucket_hashes.chunks(BUCKET_HASH_LEN).zip(&self.bucket_hashes);
        for (differs, (remote, local)) in is_bucket_differing.iter_mut().zip(hashes) {
            *differs = remote != local.to_be_bytes();
        }
        let is_differing =
            |record: &&MemberRecord| is_bucket_differing.get(record.bucket).copied().unwrap_or(false);
        let mut differing: Vec<&MemberRecord> = self.iter().filter(is_differing).collect();
        differing.sort_by_key(|record| buckets_after(first_bucket, record.bucket));
        differing.into_iter().take(max_updates).map(MemberRecord::update).collect()
    }

    /// Drops a name whose tombstone was removed, unless the member came back meanwhile.
    fn remove_unless_live(&mut self, name: &str) {
        if !self.is_live(name)
            && let Some(old) = self.records.remove(name)
        {
            self.subtract_from_totals(&old);
        }
    }

    fn add_to_totals(&mut self, record: &MemberRecord) {
        if record.state.is_live() {
            self.toggle_hashes(record);
            self.live_member_count += 1;
            self.live_control_node_count += usize::from(record.peer.is_control_node);
        }
    }

    fn subtract_from_totals(&mut self, record: &MemberRecord) {
        if record.state.is_live() {
            self.toggle_hashes(record);
            self.live_member_count -= 1;
            self.live_control_node_count -= usize::from(record.peer.is_control_node);
        }
    }

    /// Adds the hashes of a record to the digests, or removes them again.
    fn toggle_hashes(&mut self, record: &MemberRecord) {
        self.digest ^= record.hash;
        if let Some(hash) = self.bucket_hashes.get_mut(record.bucket) {
            *hash ^= (record.hash >> 32) as u32;
        }
    }
}

/// How many buckets after `first_bucket` a bucket follows, if they are taken in turn.
fn buckets_after(first_bucket: usize, bucket: usize) -> usize {
    (bucket + BUCKETS - first_bucket % BUCKETS) % BUCKETS
}

/// Hash of name, instance and incarnation. All members have to hash in the same way, since digests are compared between
/// them.
fn hash_member(name: &str, instance_id: u64, incarnation: u64) -> u64 {
    mix(mix(hash_name(name) ^ instance_id).wrapping_add(incarnation))
}

/// FNV-1a, mixed.
fn hash_name(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    mix(name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME)))
}

/// The finalizer of SplitMix64.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
