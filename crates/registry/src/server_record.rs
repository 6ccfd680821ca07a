//! The record that one process stores for one server.

use mosshead_time::Instant;

use crate::{Entry, OperState, SourceId};

/// The entry of a server, with local information about it.
#[derive(Clone, Debug)]
pub(crate) struct ServerRecord {
    /// The entry in force.
    pub entry: Entry,
    /// The highest sequence number known from heartbeats, entries or other nodes; never below the entry's.
    pub last_sequence: u64,
    /// When `last_sequence` became known here.
    pub last_heartbeat_at: Instant,
    /// The control node that received the heartbeat `last_sequence`.
    pub last_receiver: SourceId,
    /// When this process itself last received a heartbeat of the server that was not ignored as outdated or
    /// repeated; `None` if there is none.
    pub last_local_heartbeat_at: Option<Instant>,
    /// When `state` or `is_suspected` of the entry last changed here.
    pub state_since: Instant,
    /// The state that another control node is known to have stored for the server; `Up` if there is none. It
    /// is lowered again once the server has come up, so that draining again needs replication again.
    pub replicated_state: OperState,
    /// When the server is checked next for missing heartbeats: the key of its timer in the registry. `None`
    /// while no timer is set.
    pub timer: Option<Instant>,
}

impl ServerRecord {
    /// Creates the record of an entry of a server that was not known here.
    pub(crate) fn new(now: Instant, entry: Entry) -> ServerRecord {
        ServerRecord {
            last_sequence: entry.server.sequence,
            last_heartbeat_at: now,
            last_receiver: entry.source,
            last_local_heartbeat_at: None,
            state_since: now,
            replicated_state: OperState::Up,
            timer: None,
            entry,
        }
    }

    /// Records a heartbeat that the control node `receiver` has received. Its sequence number must not be
    /// below `last_sequence`.
    pub(crate) fn raise_sequence(&mut self, now: Instant, sequence: u64, receiver: SourceId) {
        self.last_sequence = sequence;
        self.last_heartbeat_at = now;
        self.last_receiver = receiver;
    }

    /// Returns true if the server is draining or removed, and no other process is known to have stored that.
    /// `replicated_version` is the version up to which another node has the entries that this process
    /// published.
    pub(crate) fn needs_replication(&self, local_id: SourceId, replicated_version: u64) -> bool {
        self.entry.server.state > self.replicated_state
            && self.entry.source == local_id
            && self.entry.version > replicated_version
    }
}
