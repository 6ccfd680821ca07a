//! What a new instance may still believe of a former one's snapshot: each part is judged by itself, and merged with the list
//! that the platform gave.

use std::collections::BTreeMap;
use std::fmt;

use mosshead_decide::interface::Readiness;
use thiserror::Error;

use crate::server_list::ServerList;
use crate::snapshot::{EndedServer, LearnedFigures, MAX_ENDED_SERVERS, Snapshot, SnapshotError};

/// A list, or the knowledge that a server drains, counts as unknown when it is older than this; milliseconds.
pub const MAX_LIST_AGE_MS: u64 = 600_000;
/// Learned values count as unknown when they are older than this; milliseconds.
pub const MAX_LEARNED_AGE_MS: u64 = 60_000;
/// Learned values count in full up to this age; milliseconds.
pub const FRESH_LEARNED_AGE_MS: u64 = 2_000;
/// The clocks of a machine's processes differ by no more; milliseconds. What was written later than now, and more, is from
/// a clock that was set.
const MAX_CLOCK_SKEW_MS: u64 = 2_000;

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

/// Why a part counts, or doesn't.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PartReason {
    /// The snapshot can't be read.
    #[error(transparent)]
    Unreadable(SnapshotError),
    /// It is that of an instance with this name.
    #[error("of {0}")]
    OtherInstance(String),
    /// It is from later than now.
    #[error("of the future, by {:.0} s", seconds(*ahead_ms))]
    FromTheFuture {
        /// By how much.
        ahead_ms: u64,
    },
    /// It is so old.
    #[error("{:.1} s old", seconds(*age_ms))]
    Age {
        /// Its age.
        age_ms: u64,
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
    #[error("version {version}, {:.1} s old", seconds(*age_ms))]
    Version {
        /// Of the stored list.
        version: u64,
        /// Its age.
        age_ms: u64,
    },
    /// No server would be left to send to.
    #[error("nothing would be left to send to")]
    NoServerLeft,
    /// So many servers are known to have ended.
    #[error("{known} known, {listed} of them listed")]
    EndedServers {
        /// All of them.
        known: usize,
        /// Those that the list had as ready.
        listed: usize,
    },
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

/// What a new instance starts from. Instants are Unix times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState {
    /// The list to serve by until discovery sends one.
    pub list: ServerList,
    /// When discovery sent it to a former instance; 0 if that isn't known.
    pub told_ms: u64,
    /// Whether servers were taken out of it: discovery has no such list under that version.
    pub merged: bool,
    /// Servers that drain or have ended, to be remembered on; at most [`MAX_ENDED_SERVERS`].
    pub left: Vec<EndedServer>,
    /// Learned values, and their age in seconds.
    pub learnt: Option<(BTreeMap<String, LearnedFigures>, f64)>,
    /// Counts the instances of this name that started one after the other, from 1.
    pub life: u64,
    /// What became of each part.
    pub reports: Vec<PartReport>,
}

/// What an instance of this name starts from: the list that the platform gave, and what its folder held. `now_ms` is Unix
/// time in milliseconds.
pub fn restore(
    given: &ServerList,
    found: Result<Snapshot, SnapshotError>,
    name: &str,
    now_ms: u64,
) -> RestoredState {
    match found {
        Ok(snapshot) if snapshot.instance == name => RestoredState::from_snapshot(given, snapshot, now_ms),
        // All instances that were started from one image find the same snapshot.
        Ok(snapshot) => RestoredState::without_snapshot(given, PartReason::OtherInstance(snapshot.instance)),
        Err(error) => RestoredState::without_snapshot(given, PartReason::Unreadable(error)),
    }
}

impl RestoredState {
    fn from_snapshot(given: &ServerList, snapshot: Snapshot, now_ms: u64) -> RestoredState {
        let written_age = age(snapshot.written_ms, now_ms);
        let mut restored =
            RestoredState { life: snapshot.life.saturating_add(1), ..RestoredState::first(given) };
        let list_report = restored.restore_list(given, &snapshot, written_age.clone(), now_ms);
        let ended_servers_report = restored.restore_ended_servers(&snapshot, now_ms);
        let learned_values_report = restored.restore_learned_values(snapshot, written_age);
        restored.reports = vec![list_report, ended_servers_report, learned_values_report];
        restored
    }

    fn without_snapshot(given: &ServerList, reason: PartReason) -> RestoredState {
        let parts = [SnapshotPart::List, SnapshotPart::EndedServers, SnapshotPart::LearnedValues];
        let reports = parts.map(|part| discarded(part, reason.clone())).to_vec();
        RestoredState { reports, ..RestoredState::first(given) }
    }

    /// The state of the first instance of a name.
    fn first(given: &ServerList) -> RestoredState {
        RestoredState {
            list: given.clone(),
            told_ms: 0,
            merged: false,
            left: Vec::new(),
            learnt: None,
            life: 1,
            reports: Vec::new(),
        }
    }

    fn restore_list(
        &mut self,
        given: &ServerList,
        snapshot: &Snapshot,
        written_age: Result<u64, PartReason>,
        now_ms: u64,
    ) -> PartReport {
        match usable_list_age(given, snapshot, written_age, now_ms) {
            Ok(age_ms) => {
                self.list = snapshot.list.clone();
                self.list.full = true;
                self.told_ms = snapshot.told_ms;
                let reason = PartReason::Version { version: snapshot.list.version, age_ms };
                PartReport { part: SnapshotPart::List, outcome: PartOutcome::Restored, reason }
            }
            Err(reason) => discarded(SnapshotPart::List, reason),
        }
    }

    /// Takes servers out of the list that a former instance knew to drain. A list that is older than that knowledge would
    /// make them targets again.
    fn restore_ended_servers(&mut self, snapshot: &Snapshot, now_ms: u64) -> PartReport {
        let ended_servers = remembered_ended_servers(snapshot, now_ms);
        let mut list = self.list.clone();
        let mut listed = 0;
        for server in list.machines.iter_mut().filter(|server| server.readiness == Readiness::Ready) {
            let is_same =
                |ended: &EndedServer| ended.id == server.id && ended.started_ms == server.started_ms;
            if ended_servers.iter().any(is_same) {
                server.readiness = Readiness::Draining;
                listed += 1;
            }
        }
        let has_ready = list.machines.iter().any(|server| server.readiness == Readiness::Ready);
        if listed > 0 && !has_ready {
            // Outdated knowledge of drains must not empty a fleet whose servers are known.
            return discarded(SnapshotPart::EndedServers, PartReason::NoServerLeft);
        }
        let known = ended_servers.len();
        let is_complete = known == snapshot.left.len();
        (self.list, self.merged, self.left) = (list, listed > 0, ended_servers);
        let outcome = if is_complete { PartOutcome::Restored } else { PartOutcome::Outdated };
        let reason = PartReason::EndedServers { known, listed };
        PartReport { part: SnapshotPart::EndedServers, outcome, reason }
    }

    fn restore_learned_values(
        &mut self,
        snapshot: Snapshot,
        written_age: Result<u64, PartReason>,
    ) -> PartReport {
        let age_ms = match written_age {
            Ok(age_ms) if age_ms > MAX_LEARNED_AGE_MS => {
                return discarded(SnapshotPart::LearnedValues, PartReason::Age { age_ms });
            }
            Ok(age_ms) => age_ms,
            Err(reason) => return discarded(SnapshotPart::LearnedValues, reason),
        };
        self.learnt = Some((snapshot.learnt, seconds(age_ms)));
        let is_fresh = age_ms <= FRESH_LEARNED_AGE_MS;
        let outcome = if is_fresh { PartOutcome::Restored } else { PartOutcome::Outdated };
        PartReport { part: SnapshotPart::LearnedValues, outcome, reason: PartReason::Age { age_ms } }
    }
}

/// The age of a stored list, or why it doesn't count.
fn usable_list_age(
    given: &ServerList,
    snapshot: &Snapshot,
    written_age: Result<u64, PartReason>,
    now_ms: u64,
) -> Result<u64, PartReason> {
    written_age?;
    if snapshot.told_ms == 0 {
        return Err(PartReason::Unconfirmed);
    }
    let age_ms = age(snapshot.told_ms, now_ms)?;
    if age_ms > MAX_LIST_AGE_MS {
        return Err(PartReason::Age { age_ms });
    }
    let version = snapshot.list.version;
    if version < given.version && !given.machines.is_empty() {
        return Err(PartReason::EarlierVersion { version, given: given.version });
    }
    Ok(age_ms)
}

/// The latest servers that drain or have ended and aren't too old. After the clock was set back they look as if they were
/// from the future; they count nevertheless, since they only take servers away.
fn remembered_ended_servers(snapshot: &Snapshot, now_ms: u64) -> Vec<EndedServer> {
    let is_recent = |ended: &&EndedServer| age(ended.told_ms, now_ms).unwrap_or(0) <= MAX_LIST_AGE_MS;
    let mut ended_servers: Vec<EndedServer> = snapshot.left.iter().filter(is_recent).cloned().collect();
    ended_servers.sort_by_key(|ended| ended.told_ms);
    ended_servers.drain(..ended_servers.len().saturating_sub(MAX_ENDED_SERVERS));
    ended_servers
}

fn discarded(part: SnapshotPart, reason: PartReason) -> PartReport {
    PartReport { part, outcome: PartOutcome::Discarded, reason }
}

/// The age in milliseconds of what was written at an instant; an error if that is in the future.
fn age(written_ms: u64, now_ms: u64) -> Result<u64, PartReason> {
    match written_ms.checked_sub(now_ms) {
        Some(ahead_ms) if ahead_ms > MAX_CLOCK_SKEW_MS => Err(PartReason::FromTheFuture { ahead_ms }),
        _ => Ok(now_ms.saturating_sub(written_ms)),
    }
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1000.0
}
