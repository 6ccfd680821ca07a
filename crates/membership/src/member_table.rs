//! What is believed of every name, and hashes over those that live.

use core::net::SocketAddrV4;
use std::collections::{BTreeMap, VecDeque};

use crate::peer::{MemberState, Peer};
use crate::wire::{Claim, TABLE_BYTES};

const PARTS: usize = TABLE_BYTES / 4;

/// What is believed of one name.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub peer: Peer,
    pub incarnation: u64,
    pub health: MemberState,
    /// Hash of name, life and incarnation.
    mark: u64,
    part: usize,
}

impl Record {
    pub(crate) fn key(&self) -> (u64, u64) {
        (self.incarnation, self.peer.instance_id)
    }

    pub(crate) fn claim(&self) -> Claim {
        Claim::of(&self.peer, self.incarnation, self.health)
    }
}

/// All names, oneself included.
pub(crate) struct Roster {
    records: BTreeMap<String, Record>,
    parts: [u32; PARTS],
    digest: u64,
    living: usize,
    core: usize,
    /// When which remembered dead is to be forgotten, in order.
    graves: VecDeque<(u64, String)>,
    most: usize,
}

impl Roster {
    pub(crate) fn new(most: usize) -> Roster {
        Roster {
            records: BTreeMap::new(),
            parts: [0; PARTS],
            digest: 0,
            living: 0,
            core: 0,
            graves: VecDeque::new(),
            most,
        }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    pub(crate) fn lives(&self, name: &str) -> bool {
        self.get(name).is_some_and(|record| record.health.is_live())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Of those that live, oneself included.
    pub(crate) fn size(&self) -> usize {
        self.living
    }

    pub(crate) fn count(&self, core: bool) -> usize {
        if core { self.core } else { self.living - self.core }
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn has_address(&self, address: SocketAddrV4) -> bool {
        self.iter().any(|record| record.peer.address == address && record.health.is_live())
    }

    /// Whether a name that isn't known yet can be taken; the oldest dead make room.
    pub(crate) fn has_room(&mut self) -> bool {
        while self.records.len() >= self.most {
            let Some((_, name)) = self.graves.pop_front() else { return false };
            self.forget(&name);
        }
        true
    }

    /// Danger: the only place where records change, since the hashes must follow.
    pub(crate) fn put(&mut self, peer: Peer, incarnation: u64, health: MemberState) {
        let mark = mark(&peer.name, peer.instance_id, incarnation);
        let part = (mark_of_name(&peer.name) % PARTS as u64) as usize;
        let name = peer.name.clone();
        let record = Record { peer, incarnation, health, mark, part };
        self.weigh(&record, true);
        if let Some(old) = self.records.insert(name, record) {
            self.weigh(&old, false);
        }
    }

    pub(crate) fn set_health(&mut self, name: &str, health: MemberState) {
        if let Some(record) = self.records.get(name).cloned() {
            self.put(record.peer, record.incarnation, health);
        }
    }

    /// Remembers a dead one until then.
    pub(crate) fn bury(&mut self, name: &str, until: u64) {
        self.graves.retain(|(_, known)| known != name);
        self.graves.push_back((until, name.to_owned()));
    }

    /// Forgets the dead whose time has come.
    pub(crate) fn forget_until(&mut self, now: u64) {
        while self.next_grave().is_some_and(|until| until <= now) {
            if let Some((_, name)) = self.graves.pop_front() {
                self.forget(&name);
            }
        }
    }

    pub(crate) fn next_grave(&self) -> Option<u64> {
        self.graves.front().map(|(until, _)| *until)
    }

    /// Hashes of all parts.
    pub(crate) fn table(&self) -> Vec<u8> {
        self.parts.iter().flat_map(|part| part.to_be_bytes()).collect()
    }

    /// At most so many claims of the parts where another's table differs; they begin with the part `first`, and turn.
    pub(crate) fn differing(&self, table: &[u8], first: usize, most: usize) -> Vec<Claim> {
        let mut differs = [false; PARTS];
        for ((flag, theirs), ours) in differs.iter_mut().zip(table.chunks(4)).zip(&self.parts) {
            *flag = theirs != ours.to_be_bytes();
        }
        let wanted = |record: &&Record| differs.get(record.part).copied().unwrap_or(false);
        let mut found: Vec<&Record> = self.iter().filter(wanted).collect();
        found.sort_by_key(|record| (record.part + PARTS - first % PARTS) % PARTS);
        found.into_iter().take(most).map(Record::claim).collect()
    }

    fn forget(&mut self, name: &str) {
        // One that came back meanwhile has a stale grave.
        if self.get(name).is_some_and(|record| !record.health.is_live())
            && let Some(old) = self.records.remove(name)
        {
            self.weigh(&old, false);
        }
    }

    fn weigh(&mut self, record: &Record, enters: bool) {
        if !record.health.is_live() {
            return;
        }
        self.digest ^= record.mark;
        if let Some(part) = self.parts.get_mut(record.part) {
            *part ^= (record.mark >> 32) as u32;
        }
        let core = usize::from(record.peer.is_control_node);
        if enters {
            self.living += 1;
            self.core += core;
        } else {
            self.living -= 1;
            self.core -= core;
        }
    }
}

/// Any fixed mixing does, as long as all members have the same.
fn mark(name: &str, instance_id: u64, incarnation: u64) -> u64 {
    mix(mix(mark_of_name(name) ^ instance_id).wrapping_add(incarnation))
}

fn mark_of_name(name: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    mix(name.bytes().fold(start, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)))
}

fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
