//! What a new instance may still believe of a former one's snapshot: each part is judged by itself, and merged with the list
//! that the platform gave.

use core::time::Duration;

use mosshead_decide::interface::Readiness;

use crate::part_report::{PartOutcome, PartReason, PartReport, SnapshotPart};
use crate::server_list::ServerList;
use crate::snapshot::{EndedServer, LearnedValuesBySubject, MAX_ENDED_SERVERS, Snapshot, SnapshotError};
use crate::unix_time::UnixTime;

/// A list, or the knowledge that a server drains, counts as unknown when it is older than this.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(600);
/// Learned values count as unknown when they are older than this.
pub const MAX_LEARNED_AGE: Duration = Duration::from_secs(60);
/// Learned values count in full up to this age.
pub const FRESH_LEARNED_AGE: Duration = Duration::from_secs(2);
/// The clocks of a machine's processes differ by no more. What was written further in the future is from a clock that was set.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// What a new instance starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState {
    /// The list to serve by until discovery sends one.
    pub server_list: ServerList,
    /// When discovery confirmed it to a former instance, as far as that is known.
    pub list_confirmed_at: Option<UnixTime>,
    /// Whether servers of it were marked as draining: discovery has no such list under that version.
    pub is_list_modified: bool,
    /// Servers that drain or have ended, to be remembered on; at most [`MAX_ENDED_SERVERS`].
    pub ended_servers: Vec<EndedServer>,
    /// Learned values that still count.
    pub learned_values: Option<RestoredValues>,
    /// Counts the instances of this name that started one after the other, from 1.
    pub incarnation: u64,
    /// What became of each part.
    pub reports: Vec<PartReport>,
}

/// The learned values of a former instance.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredValues {
    /// The values.
    pub values: LearnedValuesBySubject,
    /// The time since they were written.
    pub age: Duration,
}

/// What an instance of this name starts from: the list that the platform gave, and what its folder contained.
pub fn restore(
    given: &ServerList,
    found: Result<Snapshot, SnapshotError>,
    instance_name: &str,
    now: UnixTime,
) -> RestoredState {
    match found {
        Ok(snapshot) if snapshot.instance_name == instance_name => {
            RestoredState::from_snapshot(given, snapshot, now)
        }
        // All instances that were started from one image find the same snapshot.
        Ok(snapshot) => {
            RestoredState::without_snapshot(given, PartReason::OtherInstance(snapshot.instance_name))
        }
        Err(error) => RestoredState::without_snapshot(given, PartReason::Unreadable(error)),
    }
}

impl RestoredState {
    fn from_snapshot(given: &ServerList, snapshot: Snapshot, now: UnixTime) -> RestoredState {
        let written_age = age(snapshot.written_at, now);
        let mut restored = RestoredState {
            incarnation: snapshot.incarnation.saturating_add(1),
            ..RestoredState::first(given)
        };
        let list_report = restored.restore_list(given, &snapshot, written_age.clone(), now);
        let ended_servers_report = restored.restore_ended_servers(&snapshot, now);
        let learned_values_report = restored.restore_learned_values(snapshot, written_age);
        restored.reports = vec![list_report, ended_servers_report, learned_values_report];
        restored
    }

    fn without_snapshot(given: &ServerList, reason: PartReason) -> RestoredState {
        let parts = [SnapshotPart::List, SnapshotPart::EndedServers, SnapshotPart::LearnedValues];
        let reports = parts.map(|part| PartReport::discarded(part, reason.clone())).to_vec();
        RestoredState { reports, ..RestoredState::first(given) }
    }

    /// The state of the first instance of a name.
    fn first(given: &ServerList) -> RestoredState {
        RestoredState {
            server_list: given.clone(),
            list_confirmed_at: None,
            is_list_modified: false,
            ended_servers: Vec::new(),
            learned_values: None,
            incarnation: 1,
            reports: Vec::new(),
        }
    }

    fn restore_list(
        &mut self,
        given: &ServerList,
        snapshot: &Snapshot,
        written_age: Result<Duration, PartReason>,
        now: UnixTime,
    ) -> PartReport {
        match usable_list_age(given, snapshot, written_age, now) {
            Ok(age) => {
                self.server_list = snapshot.server_list.clone();
                self.server_list.is_complete = true;
                self.list_confirmed_at = snapshot.list_confirmed_at;
                let reason = PartReason::Version { version: snapshot.server_list.version, age };
                PartReport { part: SnapshotPart::List, outcome: PartOutcome::Restored, reason }
            }
            Err(reason) => PartReport::discarded(SnapshotPart::List, reason),
        }
    }

    /// Marks servers of the list as draining that a former instance knew to drain or to have ended. A list that is older than
    /// that knowledge would make them targets again.
    fn restore_ended_servers(&mut self, snapshot: &Snapshot, now: UnixTime) -> PartReport {
        let ended_servers = remembered_ended_servers(snapshot, now);
        let mut list = self.server_list.clone();
        let mut listed = 0;
        for server in list.servers.iter_mut().filter(|server| server.readiness == Readiness::Ready) {
            if ended_servers.iter().any(|ended| ended.is_same_server(server)) {
                server.readiness = Readiness::Draining;
                listed += 1;
            }
        }
        let has_ready = list.servers.iter().any(|server| server.readiness == Readiness::Ready);
        if listed > 0 && !has_ready {
            // Outdated knowledge of drains must not empty a fleet whose servers are known.
            return PartReport::discarded(SnapshotPart::EndedServers, PartReason::NoServerLeft);
        }
        let known = ended_servers.len();
        let is_complete = known == snapshot.ended_servers.len();
        self.server_list = list;
        self.is_list_modified = listed > 0;
        self.ended_servers = ended_servers;
        let outcome = if is_complete { PartOutcome::Restored } else { PartOutcome::Outdated };
        let reason = PartReason::EndedServers { known, listed };
        PartReport { part: SnapshotPart::EndedServers, outcome, reason }
    }

    fn restore_learned_values(
        &mut self,
        snapshot: Snapshot,
        written_age: Result<Duration, PartReason>,
    ) -> PartReport {
        let age = match written_age {
            Ok(age) if age > MAX_LEARNED_AGE => {
                return PartReport::discarded(SnapshotPart::LearnedValues, PartReason::Age { age });
            }
            Ok(age) => age,
            Err(reason) => return PartReport::discarded(SnapshotPart::LearnedValues, reason),
        };
        self.learned_values = Some(RestoredValues { values: snapshot.learned_values, age });
        let is_fresh = age <= FRESH_LEARNED_AGE;
        let outcome = if is_fresh { PartOutcome::Restored } else { PartOutcome::Outdated };
        PartReport { part: SnapshotPart::LearnedValues, outcome, reason: PartReason::Age { age } }
    }
}

/// The age of a stored list, or why it doesn't count.
fn usable_list_age(
    given: &ServerList,
    snapshot: &Snapshot,
    written_age: Result<Duration, PartReason>,
    now: UnixTime,
) -> Result<Duration, PartReason> {
    written_age?;
    let age = age(snapshot.list_confirmed_at.ok_or(PartReason::Unconfirmed)?, now)?;
    if age > MAX_LIST_AGE {
        return Err(PartReason::Age { age });
    }
    let version = snapshot.server_list.version;
    if version < given.version && !given.servers.is_empty() {
        return Err(PartReason::EarlierVersion { version, given: given.version });
    }
    Ok(age)
}

/// The latest servers that drain or have ended and aren't too old. After the clock was set back they look as if they were
/// from the future; they count nevertheless, since they only take servers away.
fn remembered_ended_servers(snapshot: &Snapshot, now: UnixTime) -> Vec<EndedServer> {
    let is_recent = |ended: &&EndedServer| age(ended.reported_at, now).unwrap_or_default() <= MAX_LIST_AGE;
    let mut ended_servers: Vec<EndedServer> =
        snapshot.ended_servers.iter().filter(is_recent).cloned().collect();
    ended_servers.sort_by_key(|ended| ended.reported_at);
    ended_servers.drain(..ended_servers.len().saturating_sub(MAX_ENDED_SERVERS));
    ended_servers
}

/// The age of what was written at a time; an error if that is in the future.
fn age(written_at: UnixTime, now: UnixTime) -> Result<Duration, PartReason> {
    let ahead = written_at.duration_since(now);
    if ahead > MAX_CLOCK_SKEW {
        return Err(PartReason::FromTheFuture { ahead });
    }
    Ok(now.duration_since(written_at))
}
