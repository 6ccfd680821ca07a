//! The registry of one process: its state and the queries. Each concern that changes it has a module of its own.

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

/// The maximum number of servers, tombstones not counted.
pub const MAX_SERVERS: usize = 32_768;

/// The registry of model servers of one process.
#[derive(Clone, Debug)]
pub struct Registry {
    /// The source of the entries that are published here; new in each incarnation.
    local_id: SourceId,
    /// How often servers send heartbeats; at least a millisecond.
    heartbeat_interval: Duration,
    /// This process receives no heartbeats and never suspects a server.
    is_read_replica: bool,

    /// All servers by id, tombstones too.
    records: HashMap<Arc<str>, ServerRecord, BuildHasherDefault<DefaultHasher>>,
    /// All entries of `records` by source and version.
    sources: SourceIndex,
    /// The servers of `records` that have not been removed.
    index: ServerIndex,
    /// The tombstones of `records`, by the instant at which they were made.
    tombstones: IdsByInstant,
    /// XOR of the fingerprints of the entries that are no tombstones.
    fingerprint: u64,

    /// The timers of `records`, by the instant at which they expire.
    timers: IdsByInstant,
    /// Whether this process itself has been running, without which missing heartbeats mean nothing.
    uptime: Uptime,

    /// The versions of the entries that were published here.
    published: PublishedVersions,
    divergence: Divergence,
}

impl Registry {
    /// The registry of a control node. `local_id` must be drawn at random at each start of the process.
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

    /// The registry of a process that receives no heartbeats, as a proxy: it suspects no server.
    pub fn read_replica(local_id: SourceId, heartbeat_interval: Duration) -> Registry {
        Registry { is_read_replica: true, ..Registry::new(local_id, heartbeat_interval) }
    }

    /// The source of the entries that are published here.
    pub fn local_id(&self) -> SourceId {
        self.local_id
    }

    /// The last version that was published here; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.published.last()
    }

    /// Equal for two registries whose entries have the same ids, sequence numbers, sources and versions. Tombstones do
    /// not count.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// The servers that have not been removed, by service and id.
    pub fn servers(&self) -> impl Iterator<Item = &Server> + '_ {
        self.index.ids().filter_map(|id| self.get(id))
    }

    /// The servers of a service that have not been removed, by id.
    pub fn servers_of_service(&self, service: &str) -> impl Iterator<Item = &Server> + '_ {
        self.index.ids_of_service(service).filter_map(|id| self.get(id))
    }

    /// The servers at an address that are neither removed nor suspected, by id. If there are several, all but one have
    /// ended, and it is not known yet which.
    pub fn servers_at_address(&self, address: SocketAddrV4) -> impl Iterator<Item = &Server> + '_ {
        self.index.ids_at_address(address).filter_map(|id| self.get(id))
    }

    /// A server by its id, also a removed one while its tombstone is retained.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.entry(id).map(|entry| &entry.server)
    }

    /// The entry of a server by its id, also of a removed one while its tombstone is retained.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.records.get(id).map(|record| &record.entry)
    }

    /// All entries, tombstones too, by source and version.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> + '_ {
        self.sources.server_ids().filter_map(|id| self.entry(id))
    }

    /// How many servers have not been removed.
    pub fn len(&self) -> usize {
        self.records.len().saturating_sub(self.tombstones.len())
    }

    /// Whether there is no server that has not been removed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_full(&self) -> bool {
        self.len() >= MAX_SERVERS
    }

    /// Whether the server is draining or removed and only this process is known to have stored that.
    fn needs_replication(&self, id: &str) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.needs_replication(self.local_id, self.published.replicated()))
    }
}
