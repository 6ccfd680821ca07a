//! The registry of one process: its state and queries. Each submodule implements one kind of change to it.

mod anti_entropy;
mod entries;
mod failure_detection;
mod heartbeats;
mod tombstones;

use core::net::SocketAddrV4;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use mosshead_time::Duration;

pub use failure_detection::SUSPICION_TIMEOUT;
pub use heartbeats::HeartbeatOutcome;
pub use tombstones::{MAX_TOMBSTONES, TOMBSTONE_LIFETIME};

use crate::divergence::Divergence;
use crate::ids_by_instant::IdsByInstant;
use crate::published_versions::PublishedVersions;
use crate::server_index::ServerIndex;
use crate::server_record::ServerRecord;
use crate::source_index::SourceIndex;
use crate::uptime::Uptime;
use crate::{Entry, Server, SourceId};

/// The maximum number of servers, not counting tombstones.
pub const MAX_SERVERS: usize = 32_768;

/// The registry of model servers of one process.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The source id of this process, under which it publishes entries; new in each incarnation.
    local_id: SourceId,
    /// The interval at which servers send heartbeats; at least a millisecond.
    heartbeat_interval: Duration,
    /// True if this process receives no heartbeats and never suspects a server.
    is_read_replica: bool,

    /// All servers by id, including tombstones.
    records: HashMap<Arc<str>, ServerRecord, BuildHasherDefault<DefaultHasher>>,
    /// All entries of `records` by source and version.
    sources: SourceIndex,
    /// The servers of `records` that have not been removed.
    index: ServerIndex,
    /// The tombstones of `records`, by the instant at which they were created.
    tombstones: IdsByInstant,
    /// XOR of the fingerprints of all entries except tombstones.
    fingerprint: u64,

    /// The timers of `records`, by the instant at which they expire.
    timers: IdsByInstant,
    /// Detects pauses of this process itself, during which missing heartbeats are no evidence of a failure.
    uptime: Uptime,

    /// The versions of the entries that this process published.
    published: PublishedVersions,
    divergence: Divergence,
}

impl Registry {
    /// Creates the registry of a control node. `local_id` must be drawn at random at each start of the
    /// process.
    pub fn new(local_id: SourceId, heartbeat_interval: Duration) -> Registry {
        Registry {
            local_id,
            heartbeat_interval: heartbeat_interval.max(Duration::from_millis(1)),
            is_read_replica: false,
            records: HashMap::default(),
            sources: SourceIndex::default(),
            index: ServerIndex::default(),
            tombstones: IdsByInstant::default(),
            fingerprint: 0,
            timers: IdsByInstant::default(),
            uptime: Uptime::new(),
            published: PublishedVersions::default(),
            divergence: Divergence::default(),
        }
    }

    /// Creates the registry of a process that receives no heartbeats, such as a proxy. It suspects no server.
    pub fn read_replica(local_id: SourceId, heartbeat_interval: Duration) -> Registry {
        Registry { is_read_replica: true, ..Registry::new(local_id, heartbeat_interval) }
    }

    /// Returns the source id under which this process publishes entries.
    pub fn local_id(&self) -> SourceId {
        self.local_id
    }

    /// Returns the last version that this process published; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.published.last()
    }

    /// Returns a fingerprint that is equal for registries whose entries have the same ids, sequence numbers,
    /// sources and versions. Tombstones do not count.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Iterates over the servers that have not been removed, ordered by service and id.
    pub fn servers(&self) -> impl Iterator<Item = &Server> + '_ {
        self.index.ids().filter_map(|id| self.get(id))
    }

    /// Iterates over the servers of a service that have not been removed, ordered by id.
    pub fn servers_of_service(&self, service: &str) -> impl Iterator<Item = &Server> + '_ {
        self.index.ids_of_service(service).filter_map(|id| self.get(id))
    }

    /// Iterates over the servers at an address that are neither removed nor suspected, ordered by id. If
    /// there are several, all but one have ended, but it is not known yet which.
    pub fn servers_at_address(&self, address: SocketAddrV4) -> impl Iterator<Item = &Server> + '_ {
        self.index.ids_at_address(address).filter_map(|id| self.get(id))
    }

    /// Returns a server by its id, including a removed one while its tombstone is retained.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.entry(id).map(|entry| &entry.server)
    }

    /// Returns the entry of a server by its id, including a removed one while its tombstone is retained.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.records.get(id).map(|record| &record.entry)
    }

    /// Iterates over all entries, including tombstones, ordered by source and version.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> + '_ {
        self.sources.server_ids().filter_map(|id| self.entry(id))
    }

    /// Returns the number of servers that have not been removed.
    pub fn len(&self) -> usize {
        self.records.len().saturating_sub(self.tombstones.len())
    }

    /// Returns true if there are no servers, not counting removed ones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_full(&self) -> bool {
        self.len() >= MAX_SERVERS
    }

    /// Returns true if the server is draining or removed, and no other process is known to have stored that.
    fn needs_replication(&self, id: &str) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.needs_replication(self.local_id, self.published.replicated()))
    }
}
