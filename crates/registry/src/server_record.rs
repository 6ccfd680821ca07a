//! What one process stores about one server.

use mosshead_time::Instant;

use crate::{Entry, OperState, SourceId};

/// The entry of a server with what is known beside it.
#[derive(Clone, Debug)]
pub(crate) struct ServerRecord {
    /// The entry in force.
    pub entry: Entry,
    /// The highest sequence number that is known from heartbeats, entries or other nodes; never below the entry's.
    pub last_sequence: u64,
    /// When `last_sequence` became known here.
    pub last_heartbeat_at: Instant,
    /// Who received the heartbeat `last_sequence`.
    pub last_receiver: SourceId,
    /// When a heartbeat last came to this very process.
    pub last_local_heartbeat_at: Option<Instant>,
    /// When `state` or `is_suspected` of the entry last changed here.
    pub state_since: Instant,
    /// The greatest state, in the order from up to removed, that another control node is known to have stored for the
    /// server.
    pub replicated_state: OperState,
    /// When the server is to be checked next for missing heartbeats: the key of its timer in the registry. None while no
    /// timer is set.
    pub timer: Option<Instant>,
}

impl ServerRecord {
    /// The record of an entry that is new here.
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

    /// Records a heartbeat that `receiver`, a control node, has received. Its sequence number must not be below
    /// `last_sequence`.
    pub(crate) fn raise_sequence(&mut self, now: Instant, sequence: u64, receiver: SourceId) {
        self.last_sequence = sequence;
        self.last_heartbeat_at = now;
        self.last_receiver = receiver;
    }

    /// Whether the server is draining or removed and only this process is known to have stored that. `replicated_version` is the
    /// version up to which another node has the entries that were published here.
    pub(crate) fn needs_replication(&self, local_id: SourceId, replicated_version: u64) -> bool {
        self.entry.server.state > self.replicated_state
            && self.entry.source == local_id
            && self.entry.version > replicated_version
    }
}
