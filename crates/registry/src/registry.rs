//! The register of one process.

mod failure_detection;

use core::net::{Ipv4Addr, SocketAddrV4};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use mosshead_time::{Duration, Instant};

use crate::server_record::Record;
use crate::source_index::Sources;
pub use failure_detection::{SOURCE_TIMEOUT, SUSPICION_TIMEOUT};

use crate::{Delta, Entry, OperState, Server, ServerError, SourceId, VersionVector};

/// The most servers that are held, tombstones apart.
pub const MAX_SERVERS: usize = 32_768;
/// The most tombstones that are held; the oldest go first.
pub const MAX_TOMBSTONES: usize = 16_384;
/// How long a tombstone is held.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(120);

/// With more sources than this in use, entries of lost sources are taken over when their server is heard.
const MANY_SOURCES: usize = 16;
/// How often a register that differs from another's may ask for everything.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// The sequence of a deregistration: nothing comes after it.
const LAST: u64 = u64::MAX;

/// What a beat or a deregistration has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// It made a new version.
    pub changed: bool,
    /// The server is draining or gone, and only this source is known to have it: hand it to another core process
    /// (see [`Registry::mark_replicated`]) before the acknowledgement. Stays so, over repeats, until that is done.
    pub needs_replication: bool,
    /// It was older than what is known, and changed nothing.
    pub is_outdated: bool,
    /// It was not taken in at all.
    pub error: Option<ServerError>,
}

/// The register of servers of one process.
#[derive(Clone, Debug)]
pub struct Registry {
    pub(crate) local_id: SourceId,
    pub(crate) keepalive: Duration,
    pub(crate) is_read_replica: bool,
    pub(crate) records: HashMap<Arc<str>, Record, BuildHasherDefault<DefaultHasher>>,
    pub(crate) sources: Sources,
    pub(crate) timers: BTreeSet<(Instant, Arc<str>)>,
    pub(crate) tombstones: BTreeSet<(Instant, Arc<str>)>,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) awake_since: Instant,
    by_service: BTreeMap<String, BTreeSet<Arc<str>>>,
    by_address: BTreeMap<SocketAddrV4, BTreeSet<Arc<str>>>,
    version: u64,
    held: u64,
    fingerprint: u64,
    doubted_at: Option<Instant>,
    pub(crate) doubts: bool,
}

impl Registry {
    /// The register of a core process. `me` has to be drawn anew at every start.
    pub fn new(local_id: SourceId, keepalive: Duration) -> Registry {
        Registry {
            local_id,
            keepalive: keepalive.max(Duration::from_millis(1)),
            is_read_replica: false,
            records: HashMap::default(),
            sources: Sources::default(),
            timers: BTreeSet::new(),
            tombstones: BTreeSet::new(),
            last_tick: None,
            awake_since: Instant::ORIGIN,
            by_service: BTreeMap::new(),
            by_address: BTreeMap::new(),
            version: 0,
            held: 0,
            fingerprint: 0,
            doubted_at: None,
            doubts: false,
        }
    }

    /// The register of a process that hears no servers (a proxy): it marks nobody silent.
    pub fn read_replica(local_id: SourceId, keepalive: Duration) -> Registry {
        Registry { is_read_replica: true, ..Registry::new(local_id, keepalive) }
    }

    /// Takes in a beat of a server.
    pub fn record_heartbeat(&mut self, now: Instant, mut server: Server) -> HeartbeatOutcome {
        if let Err(fault) = server.check() {
            return HeartbeatOutcome { error: Some(fault), ..HeartbeatOutcome::default() };
        }
        server.is_suspected = false;
        server.sequence = server.sequence.min(LAST - 1);
        let sequence = server.sequence;
        let Some(record) = self.records.get_mut(server.id.as_str()) else {
            return self.first_beat(now, server);
        };
        if sequence < record.heard_sequence {
            let needs_replication = self.is_pending(&server.id);
            return HeartbeatOutcome { is_outdated: true, needs_replication, ..HeartbeatOutcome::default() };
        }
        let known = &record.entry;
        if sequence == record.heard_sequence {
            // A repeat. It may only go down in life.
            if server.state <= known.server.state {
                let needs_replication = self.is_pending(&server.id);
                return HeartbeatOutcome { needs_replication, ..HeartbeatOutcome::default() };
            }
        }
        record.heard_sequence = sequence;
        record.heard_at = now;
        record.heard_by = self.local_id;
        record.direct_at = Some(now);
        let says_new = !known.server.has_same_properties(&server);
        let moved = known.server.address != server.address;
        let (source, version) = (known.source, known.version);
        // An entry that others can't be given, or of which there are too many owners.
        let orphan = version > self.sources.known(source)
            || (self.sources.with_entries() > MANY_SOURCES
                && !self.sources.is_in_contact(now, source)
                && source != self.local_id);
        if !says_new && !orphan {
            let needs_replication = self.is_pending(&server.id);
            return HeartbeatOutcome { needs_replication, ..HeartbeatOutcome::default() };
        }
        let id = server.id.clone();
        self.publish(now, server);
        if moved {
            self.shadow(now, &id);
        }
        HeartbeatOutcome {
            changed: true,
            needs_replication: self.is_pending(&id),
            ..HeartbeatOutcome::default()
        }
    }

    fn first_beat(&mut self, now: Instant, server: Server) -> HeartbeatOutcome {
        if self.is_full() && !server.is_removed() {
            return HeartbeatOutcome {
                error: Some(ServerError::RegistryFull),
                ..HeartbeatOutcome::default()
            };
        }
        let id = server.id.clone();
        self.publish(now, server);
        if let Some(record) = self.records.get_mut(id.as_str()) {
            record.direct_at = Some(now);
        }
        self.shadow(now, &id);
        HeartbeatOutcome {
            changed: true,
            needs_replication: self.is_pending(&id),
            ..HeartbeatOutcome::default()
        }
    }

    /// Takes in the end of a server. No beat of this instance counts any more.
    pub fn deregister(&mut self, now: Instant, id: &str) -> HeartbeatOutcome {
        let mut server = match self.records.get(id) {
            Some(record) if record.entry.server.sequence == LAST && record.entry.server.is_removed() => {
                return HeartbeatOutcome {
                    needs_replication: self.is_pending(id),
                    ..HeartbeatOutcome::default()
                };
            }
            Some(record) => record.entry.server.clone(),
            None => Server {
                id: id.to_owned(),
                service: String::new(),
                address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
                zone: String::new(),
                software_revision: String::new(),
                slots: 0,
                state: OperState::Removed,
                is_suspected: false,
                warmup_remaining: Duration::ZERO,
                stage: None,
                models: Vec::new(),
                sequence: LAST,
            },
        };
        if let Err(fault) = server.check() {
            return HeartbeatOutcome { error: Some(fault), ..HeartbeatOutcome::default() };
        }
        server.state = OperState::Removed;
        server.is_suspected = false;
        server.sequence = LAST;
        self.publish(now, server);
        HeartbeatOutcome {
            changed: true,
            needs_replication: self.is_pending(id),
            ..HeartbeatOutcome::default()
        }
    }

    /// A core process other than this one has shown this vector: what it covers need not be handed over again.
    ///
    /// To hand over, give the other what it lacks, take its answer in, `missing_entries` of the vector shown here, and
    /// call this with the answer's vector. Where the other has something that supersedes the entry, it never
    /// comes to hold it, and only its answer ends the urgency.
    pub fn mark_replicated(&mut self, theirs: &VersionVector) {
        self.held = self.held.max(theirs.get(self.local_id).min(self.version));
    }

    /// Whether another core process is known to hold every entry made here that is in force.
    pub fn is_fully_replicated(&self) -> bool {
        self.held >= self.sources.last(self.local_id)
    }

    /// The last version that was made here.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What has been seen of each source.
    pub fn vector(&self) -> VersionVector {
        self.sources.vector()
    }

    /// Whether the puller names a source of which nothing is known here. Ask it to hand over.
    pub fn has_unknown_source(&self, theirs: &VersionVector) -> bool {
        theirs
            .0
            .iter()
            .any(|(&id, &version)| version > 0 && id != self.local_id && !self.sources.is_known(id))
    }

    /// Whether the puller has seen more of any source than this process.
    pub fn is_behind(&self, theirs: &VersionVector) -> bool {
        theirs.0.iter().any(|(&id, &version)| id != self.local_id && version > self.sources.known(id))
    }

    /// At most `most` (one at least) entries above the vector. The delta's vector covers what it holds.
    pub fn missing_entries(&self, theirs: &VersionVector, most: usize) -> Delta {
        let most = most.max(1);
        let mut delta = Delta { fingerprint: self.fingerprint, ..Delta::default() };
        for (source, known) in self.sources.each() {
            let base = theirs.get(source);
            let mut covered = base;
            for (version, id) in self.sources.above(source, base) {
                if delta.entries.len() >= most {
                    delta.is_truncated = true;
                    break;
                }
                if let Some(record) = self.records.get(id) {
                    delta.entries.push(record.entry.clone());
                    covered = version;
                }
            }
            if !delta.is_truncated {
                covered = known;
            }
            if base > 0 {
                delta.base.0.insert(source, base);
            }
            if covered > 0 {
                delta.vector.0.insert(source, covered);
            }
            if delta.is_truncated {
                break;
            }
        }
        delta
    }

    /// Takes in what another process gave. Returns whether anything changed. Where both have seen the same and
    /// yet hold different entries, the next [`Registry::tick`] forgets the vector, so that all is asked for anew.
    pub fn merge(&mut self, now: Instant, delta: Delta) -> bool {
        let mut changed = false;
        for entry in delta.entries {
            changed |= self.merge_entry(now, entry);
        }
        for (&source, &version) in &delta.vector.0 {
            // Danger: a claim over a gap would hide what lies in it for good.
            if source != self.local_id && self.sources.known(source) >= delta.base.get(source) {
                self.sources.claim(source, version);
            }
        }
        self.sources.trim();
        let may_doubt = self.doubted_at.is_none_or(|at| now.duration_since(at) >= FULL_SYNC_INTERVAL);
        if !delta.is_truncated
            && may_doubt
            && delta.fingerprint != self.fingerprint
            && self.vector() == delta.vector
        {
            self.doubted_at = Some(now);
            self.doubts = true;
        }
        changed
    }

    fn merge_entry(&mut self, now: Instant, mut entry: Entry) -> bool {
        entry.strip();
        // A number that this source never gave, or that stands for another instance: no process says so.
        let owner = self.sources.instance(entry.source, entry.version);
        if entry.server.check().is_err()
            || (entry.source == self.local_id && entry.version > self.version)
            || owner.is_some_and(|id| **id != *entry.server.id)
        {
            return false;
        }
        let Some(record) = self.records.get_mut(entry.server.id.as_str()) else {
            if self.is_full() && !entry.server.is_removed() {
                return false;
            }
            self.put(now, entry);
            return true;
        };
        if !entry.supersedes(&record.entry) {
            return false;
        }
        let sequence = entry.server.sequence;
        if record.heard_by == self.local_id && record.heard_sequence > sequence && !self.is_read_replica {
            // Beats that made no version have come here since: the entry is late.
            if !record.entry.server.has_same_properties(&entry.server) {
                let mut server = record.entry.server.clone();
                server.sequence = record.heard_sequence;
                if entry.source != self.local_id {
                    record.held_state = record.held_state.max(entry.server.state);
                }
                self.publish(now, server);
                return true;
            }
        }
        if sequence > record.heard_sequence {
            record.heard_sequence = sequence;
            record.heard_at = now;
            record.heard_by = entry.source;
        }
        self.put(now, entry);
        true
    }

    /// The servers that have not gone, by service and id.
    pub fn servers(&self) -> impl Iterator<Item = &Server> + '_ {
        self.by_service.values().flatten().filter_map(|id| self.get(id))
    }

    /// The servers of a service that have not gone, by id.
    pub fn servers_of_service(&self, service: &str) -> impl Iterator<Item = &Server> + '_ {
        self.by_service.get(service).into_iter().flatten().filter_map(|id| self.get(id))
    }

    /// The servers at an address that are neither gone nor silent. Where there are several, all but one have
    /// ended, and nobody has told yet which.
    pub fn servers_at_address(&self, address: SocketAddrV4) -> impl Iterator<Item = &Server> + '_ {
        self.by_address.get(&address).into_iter().flatten().filter_map(|id| self.get(id))
    }

    /// A server by its id; also a gone one, while its tombstone is held.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.records.get(id).map(|record| &record.entry.server)
    }

    /// The entry of a server by its id; also of a gone one, while its tombstone is held.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.records.get(id).map(|record| &record.entry)
    }

    /// All entries, tombstones too, by source and version.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> + '_ {
        self.sources.instances().filter_map(|id| self.records.get(id)).map(|record| &record.entry)
    }

    /// How many servers have not gone.
    pub fn len(&self) -> usize {
        self.records.len().saturating_sub(self.tombstones.len())
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Equal where the entries are: by source, version, instance and sequence, tombstones left out.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Who this is.
    pub fn local_id(&self) -> SourceId {
        self.local_id
    }

    fn is_full(&self) -> bool {
        self.len() >= MAX_SERVERS
    }

    /// Whether the server is leaving, and only this process is known to hold that.
    fn is_pending(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| record.is_pending(self.local_id, self.held))
    }

    /// Servers that were at the address of this newcomer have ended.
    fn shadow(&mut self, now: Instant, id: &str) {
        let Some(address) = self.get(id).filter(|server| !server.is_removed()).map(|server| server.address)
        else {
            return;
        };
        let ended: Vec<Arc<str>> = self
            .by_address
            .get(&address)
            .into_iter()
            .flatten()
            .filter(|other| &***other != id)
            .cloned()
            .collect();
        for other in ended {
            self.mark(now, &other, |server| server.is_suspected = true);
        }
    }

    /// Makes a version of what is known, with a mark.
    pub(crate) fn mark(&mut self, now: Instant, id: &str, set: impl FnOnce(&mut Server)) {
        let Some(record) = self.records.get(id) else { return };
        let mut server = record.entry.server.clone();
        // Danger: a sequence that was only told by a digest may stand for a state that is not known here; a mark
        // that carried it would undo a drain.
        if record.heard_by == self.local_id {
            server.sequence = record.heard_sequence;
        }
        set(&mut server);
        self.publish(now, server);
    }

    // Danger: what is published has to supersede the present entry, or nobody else takes it in.
    pub(crate) fn publish(&mut self, now: Instant, server: Server) {
        self.version = self.version.saturating_add(1);
        self.put(now, Entry { server, source: self.local_id, version: self.version });
        self.sources.claim(self.local_id, self.version);
    }

    fn put(&mut self, now: Instant, mut entry: Entry) {
        entry.strip();
        let id: Arc<str> = match self.records.get_key_value(entry.server.id.as_str()) {
            Some((id, _)) => id.clone(),
            None => Arc::from(entry.server.id.as_str()),
        };
        self.unindex(&id);
        self.index(now, &id, &entry);
        match self.records.get_mut(&id) {
            Some(record) => {
                let before = &record.entry.server;
                if !record.is_pending(self.local_id, self.held) {
                    record.held_state = before.state;
                }
                if before.is_suspected != entry.server.is_suspected || before.state != entry.server.state {
                    record.since = now;
                }
                record.heard_sequence = record.heard_sequence.max(entry.server.sequence);
                record.entry = entry;
            }
            None => {
                self.records.insert(id.clone(), Record::new(now, entry));
            }
        }
        if let Some(record) = self.records.get(&id).filter(|record| record.entry.server.is_removed()) {
            self.tombstones.insert((record.since, id.clone()));
        }
        self.arm(&id);
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((_, oldest)) = self.tombstones.first().cloned() else { break };
            self.drop_record(&oldest);
        }
    }

    fn index(&mut self, now: Instant, id: &Arc<str>, entry: &Entry) {
        self.sources.insert(now, entry.source, entry.version, id.clone());
        if entry.server.is_removed() {
            return;
        }
        self.fingerprint ^= entry.fingerprint();
        self.by_service.entry(entry.server.service.clone()).or_default().insert(id.clone());
        if !entry.server.is_suspected {
            self.by_address.entry(entry.server.address).or_default().insert(id.clone());
        }
    }

    fn unindex(&mut self, id: &Arc<str>) {
        let Some(record) = self.records.get(id) else { return };
        let entry = &record.entry;
        self.sources.remove(entry.source, entry.version);
        if entry.server.is_removed() {
            self.tombstones.remove(&(record.since, id.clone()));
            return;
        }
        self.fingerprint ^= entry.fingerprint();
        if let Some(ids) = self.by_service.get_mut(&entry.server.service) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_service.remove(&entry.server.service);
            }
        }
        if let Some(ids) = self.by_address.get_mut(&entry.server.address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(&entry.server.address);
            }
        }
    }

    pub(crate) fn drop_record(&mut self, id: &Arc<str>) {
        self.unindex(id);
        if let Some(record) = self.records.remove(id)
            && let Some(at) = record.timer
        {
            self.timers.remove(&(at, id.clone()));
        }
    }
}
