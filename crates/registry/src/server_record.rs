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
    /// Since when the state and the suspicion of the entry are what they are.
    pub state_since: Instant,
    /// The furthest state towards [`OperState::Removed`] that another control node is known to have.
    pub replicated_state: OperState,
    /// When the timer of this record expires; equal to its key in the registry's timers.
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

    /// A heartbeat with a sequence number that is not below the known ones has come to a control node.
    pub(crate) fn raise_sequence(&mut self, now: Instant, sequence: u64, receiver: SourceId) {
        self.last_sequence = sequence;
        self.last_heartbeat_at = now;
        self.last_receiver = receiver;
    }

    /// Whether the server is shutting down and only this process is known to have that. `replicated_version` is the
    /// version up to which another node has the entries that were published here.
    pub(crate) fn needs_replication(&self, local_id: SourceId, replicated_version: u64) -> bool {
        self.entry.server.state > self.replicated_state
            && self.entry.source == local_id
            && self.entry.version > replicated_version
    }
}
