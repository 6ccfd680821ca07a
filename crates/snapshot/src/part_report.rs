//! For the log of a new instance: how each part of a previous instance's snapshot was used, and why.

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

/// How a part was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// It is used as it was stored.
    Restored,
    /// It is used, but carries less weight because of its age, or some of it was discarded.
    Outdated,
    /// It is not used.
    Discarded,
}

/// How a part was used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartReport {
    /// The part that the report is about.
    pub part: SnapshotPart,
    /// How it was used.
    pub outcome: PartOutcome,
    /// The reason for the outcome.
    pub reason: PartReason,
}

impl PartReport {
    pub(crate) fn discarded(part: SnapshotPart, reason: PartReason) -> PartReport {
        PartReport { part, outcome: PartOutcome::Discarded, reason }
    }
}

/// The reason for an outcome. Its text appears in the log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PartReason {
    /// The snapshot can't be read.
    #[error(transparent)]
    Unreadable(SnapshotError),
    /// The snapshot belongs to an instance with this other name.
    #[error("of {0}")]
    OtherInstance(String),
    /// It was written later than now, by more than the allowed clock skew.
    #[error("of the future, by {:.0} s", seconds(*ahead))]
    FromTheFuture {
        /// How far it is in the future.
        ahead: Duration,
    },
    /// The part was used or discarded because of its age.
    #[error("{:.1} s old", seconds(*age))]
    Age {
        /// The time since the snapshot was written, or since discovery confirmed the list.
        age: Duration,
    },
    /// Discovery has never confirmed the list.
    #[error("discovery never told it")]
    Unconfirmed,
    /// The stored list has an earlier version than the list from the platform.
    #[error("version {version}, {given} was given")]
    EarlierVersion {
        /// The version of the stored list.
        version: u64,
        /// The version of the platform's list.
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
    /// No ready server would be left if the servers that drain or have ended were excluded.
    #[error("nothing would be left to send to")]
    NoServerLeft,
    /// The number of servers known to drain or to have ended.
    #[error("{known} known, {listed} of them listed")]
    EndedServers {
        /// The number of remembered servers.
        known: usize,
        /// How many of them the list had as ready; these were marked as draining.
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
