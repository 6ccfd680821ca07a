//! What one process holds of one server.

use mosshead_time::Instant;

use crate::{Entry, OperState, SourceId};

#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub entry: Entry,
    /// Highest sequence known by any way; never below the entry's.
    pub heard_sequence: u64,
    /// When the last sign of life came to be known here.
    pub heard_at: Instant,
    /// Who heard the beat `heard_sequence`.
    pub heard_by: SourceId,
    /// When a beat last came to this very process.
    pub direct_at: Option<Instant>,
    /// Since when the entry has been silent or gone.
    pub since: Instant,
    /// How far down in life another core process is known to have it.
    pub held_state: OperState,
    /// When the timer goes off that stands for this record.
    pub timer: Option<Instant>,
}

impl Record {
    pub fn new(now: Instant, entry: Entry) -> Record {
        Record {
            heard_sequence: entry.server.sequence,
            heard_at: now,
            heard_by: entry.source,
            direct_at: None,
            since: now,
            held_state: OperState::Up,
            timer: None,
            entry,
        }
    }

    /// Whether it is leaving and only `me`, of whose versions others hold those up to `held`, is known to have that.
    pub fn is_pending(&self, local_id: SourceId, held: u64) -> bool {
        self.entry.server.state > self.held_state
            && self.entry.source == local_id
            && self.entry.version > held
    }
}
