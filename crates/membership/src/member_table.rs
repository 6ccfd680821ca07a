//! The known state of all members, with a digest of the live ones.

use core::net::SocketAddrV4;
use std::collections::{BTreeMap, VecDeque};

use mosshead_time::Instant;

use crate::peer::{MemberState, Peer};
use crate::wire::{BUCKET_HASH_LEN, BUCKETS, MemberUpdate, UpdateVersion};

/// The known state of one member.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub(crate) peer: Peer,
    pub(crate) incarnation: u64,
    pub(crate) state: MemberState,
    /// The [`hash_member`] of name, instance and incarnation.
    hash: u64,
    /// The bucket of the name, below [`BUCKETS`].
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

/// Marks a record of a dead or departed member, which is retained until it expires.
struct Tombstone {
    expires_at: Instant,
    name: String,
}

/// All known members by name, including the local one.
pub(crate) struct MemberTable {
    records: BTreeMap<String, MemberRecord>,
    /// For each bucket, the XOR of the upper halves of its live members' hashes. With XOR, a member is added and
    /// removed by the same operation, and the order does not matter.
    bucket_hashes: [u32; BUCKETS],
    /// The XOR of all live members' hashes.
    digest: u64,
    live_member_count: usize,
    live_control_node_count: usize,
    /// In the order of expiry, with at most one for each name. A member that came back may still have one.
    tombstones: VecDeque<Tombstone>,
    /// The maximum length of `records`; see [`Settings::max_members`](crate::Settings::max_members).
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

    /// The number of live members, including the local one.
    pub(crate) fn live_member_count(&self) -> usize {
        self.live_member_count
    }

    /// The number of live control nodes.
    pub(crate) fn live_control_node_count(&self) -> usize {
        self.live_control_node_count
    }

    /// The digest of the live members. It is equal on members that know the same live members, instances and
    /// incarnations.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// True if a live member has this address.
    pub(crate) fn has_live_address(&self, address: SocketAddrV4) -> bool {
        self.iter().any(|record| record.peer.address == address && record.state.is_live())
    }

    /// Makes room for an unknown name by dropping the oldest tombstones. Returns true if there is room.
    pub(crate) fn ensure_capacity(&mut self) -> bool {
        while self.records.len() >= self.max_members {
            let Some(tombstone) = self.tombstones.pop_front() else { return false };
            self.remove_unless_live(&tombstone.name);
        }
        true
    }

    /// Inserts or replaces the record of a member.
    ///
    /// Every change of a record must use this method, and every removal [`MemberTable::remove_unless_live`], because
    /// they keep the counts and hashes up to date.
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

    /// Changes the state of a known member. An unknown name is ignored.
    pub(crate) fn set_state(&mut self, name: &str, state: MemberState) {
        if let Some(record) = self.records.get(name).cloned() {
            self.put(record.peer, record.incarnation, state);
        }
    }

    /// Retains the record of a dead or departed member until an instant. The instant must not be earlier than in
    /// previous calls, so that tombstones stay in the order of expiry.
    pub(crate) fn add_tombstone(&mut self, name: &str, expires_at: Instant) {
        self.tombstones.retain(|tombstone| tombstone.name != name);
        self.tombstones.push_back(Tombstone { expires_at, name: name.to_owned() });
    }

    /// Removes the members whose tombstones have expired.
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

    /// The hashes of all buckets as encoded on the wire: big-endian, [`BUCKET_HASH_LEN`] bytes each.
    pub(crate) fn encoded_bucket_hashes(&self) -> Vec<u8> {
        self.bucket_hashes.iter().flat_map(|hash| hash.to_be_bytes()).collect()
    }

    /// Up to `max_updates` updates about the names in buckets whose hashes differ from another member's. The buckets
    /// are visited in order, starting at `first_bucket` and wrapping around.
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

    /// Removes the record of a removed tombstone, unless the member is live again.
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

    /// Adds the hash of a record to the digests, or removes it if it was added before.
    fn toggle_hashes(&mut self, record: &MemberRecord) {
        self.digest ^= record.hash;
        if let Some(hash) = self.bucket_hashes.get_mut(record.bucket) {
            *hash ^= (record.hash >> 32) as u32;
        }
    }
}

/// The distance of a bucket from `first_bucket`, in cyclic order.
fn buckets_after(first_bucket: usize, bucket: usize) -> usize {
    (bucket + BUCKETS - first_bucket % BUCKETS) % BUCKETS
}

/// The hash of name, instance and incarnation. It must be the same on all members, because they compare digests.
fn hash_member(name: &str, instance_id: u64, incarnation: u64) -> u64 {
    mix(mix(hash_name(name) ^ instance_id).wrapping_add(incarnation))
}

/// The FNV-1a hash, followed by [`mix`].
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
