//! What became of each part of a former instance's snapshot, and why: for the log of the new instance.

use core::fmt;
use core::time::Duration;

use thiserror::Error;

use crate::snapshot::SnapshotError;

/// A part of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotPart {
    /// The list of servers.
    List,
    /// Servers that drain or have ended.
    EndedServers,
    /// Learned values.
    LearnedValues,
}

/// What became of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// It is used as it was stored.
    Restored,
    /// It is used, but carries less weight because of its age, or some of it was discarded.
    Outdated,
    /// It is not used.
    Discarded,
}

/// A part, what became of it, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReport {
    /// The part that the report is about.
    pub part: SnapshotPart,
    /// Whether it is used.
    pub outcome: PartOutcome,
    /// Why it is used, or why not.
    pub reason: PartReason,
}

impl PartReport {
    pub(crate) fn discarded(part: SnapshotPart, reason: PartReason) -> PartReport {
        PartReport { part, outcome: PartOutcome::Discarded, reason }
    }
}

/// Why a part is used, or why not. The texts are those of the log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PartReason {
    /// The snapshot can't be read.
    #[error(transparent)]
    Unreadable(SnapshotError),
    /// The snapshot is that of an instance with this other name.
    #[error("of {0}")]
    OtherInstance(String),
    /// It was written later than now, by more than clocks of one machine differ.
    #[error("of the future, by {:.0} s", seconds(*ahead))]
    FromTheFuture {
        /// How far in the future.
        ahead: Duration,
    },
    /// The age of the part decided.
    #[error("{:.1} s old", seconds(*age))]
    Age {
        /// The time since the snapshot was written, or since discovery confirmed the list.
        age: Duration,
    },
    /// Discovery has never confirmed the list.
    #[error("discovery never told it")]
    Unconfirmed,
    /// The stored list is of an earlier version than the one that the platform gave.
    #[error("version {version}, {given} was given")]
    EarlierVersion {
        /// The version of the stored list.
        version: u64,
        /// The version of the list that the platform gave.
        given: u64,
    },
    /// The stored list is used, with this version and age.
    #[error("version {version}, {:.1} s old", seconds(*age))]
    Version {
        /// The version of the stored list.
        version: u64,
        /// The time since discovery confirmed it.
        age: Duration,
    },
    /// Without the servers that drain or have ended, no server would be left to send to.
    #[error("nothing would be left to send to")]
    NoServerLeft,
    /// How many servers are known to drain or to have ended.
    #[error("{known} known, {listed} of them listed")]
    EndedServers {
        /// All that are remembered.
        known: usize,
        /// Those of them that the list had as ready, and that were marked as draining.
        listed: usize,
    },
}

impl fmt::Display for SnapshotPart {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            SnapshotPart::List => "list",
            SnapshotPart::EndedServers => "drains",
            SnapshotPart::LearnedValues => "learnt",
        })
    }
}

impl fmt::Display for PartOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            PartOutcome::Restored => "taken",
            PartOutcome::Outdated => "aged",
            PartOutcome::Discarded => "thrown-away",
        })
    }
}

fn seconds(span: Duration) -> f64 {
    span.as_millis() as f64 / 1000.0
}
