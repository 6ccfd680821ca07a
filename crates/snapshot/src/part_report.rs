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
    /// It counts.
    Restored,
    /// It counts for less, or some of it doesn't count.
    Outdated,
    /// It doesn't count.
    Discarded,
}

/// A part, what became of it, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReport {
    /// Which part.
    pub part: SnapshotPart,
    /// What became of it.
    pub outcome: PartOutcome,
    /// Why.
    pub reason: PartReason,
}

impl PartReport {
    pub(crate) fn discarded(part: SnapshotPart, reason: PartReason) -> PartReport {
        PartReport { part, outcome: PartOutcome::Discarded, reason }
    }
}

/// Why a part counts, or doesn't.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PartReason {
    /// The snapshot can't be read.
    #[error(transparent)]
    Unreadable(SnapshotError),
    /// It is that of an instance with this name.
    #[error("of {0}")]
    OtherInstance(String),
    /// It was written later than now, by more than clocks differ.
    #[error("of the future, by {:.0} s", seconds(*ahead))]
    FromTheFuture {
        /// By how much.
        ahead: Duration,
    },
    /// It is so old.
    #[error("{:.1} s old", seconds(*age))]
    Age {
        /// The time since the snapshot was written, or since discovery confirmed the list.
        age: Duration,
    },
    /// Discovery has never confirmed the list.
    #[error("discovery never told it")]
    Unconfirmed,
    /// The platform gave a later list.
    #[error("version {version}, {given} was given")]
    EarlierVersion {
        /// Of the stored list.
        version: u64,
        /// Of the list that was given.
        given: u64,
    },
    /// The list has this version and age.
    #[error("version {version}, {:.1} s old", seconds(*age))]
    Version {
        /// Of the stored list.
        version: u64,
        /// The time since discovery confirmed it.
        age: Duration,
    },
    /// No server would be left to send to.
    #[error("nothing would be left to send to")]
    NoServerLeft,
    /// So many servers are known to drain or to have ended.
    #[error("{known} known, {listed} of them listed")]
    EndedServers {
        /// All of them.
        known: usize,
        /// Those that the list had as ready.
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
