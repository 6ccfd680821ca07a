//! Decides what a new instance may use of a previous instance's snapshot. Each part is checked separately, and the list
//! is merged with the platform's list.

use core::time::Duration;

use mosshead_decide::interface::Readiness;

use crate::part_report::{PartOutcome, PartReason, PartReport, SnapshotPart};
use crate::server_list::ServerList;
use crate::snapshot::{EndedServer, LearnedValuesBySubject, MAX_ENDED_SERVERS, Snapshot, SnapshotError};
use crate::unix_time::UnixTime;

/// The maximum age of a usable list. A server that drains or has ended is also forgotten after this.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(600);
/// The maximum age of usable learned values.
pub const MAX_LEARNED_AGE: Duration = Duration::from_secs(60);
/// The age up to which learned values are reported as restored; older ones are reported as outdated.
pub const FRESH_LEARNED_AGE: Duration = Duration::from_secs(2);
/// The tolerance for times in the future. Data further in the future was written before the clock was set back.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The state from which a new instance starts.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState {
    /// The list to use until discovery sends one.
    pub server_list: ServerList,
    /// When discovery last confirmed the list to a previous instance; none for the platform's list.
    pub list_confirmed_at: Option<UnixTime>,
    /// True if some of its servers were marked as draining. The list then differs from discovery's list of the same
    /// version.
    pub is_list_modified: bool,
    /// Servers that drain or have ended, for the next snapshot; at most [`MAX_ENDED_SERVERS`].
    pub ended_servers: Vec<EndedServer>,
    /// Learned values that are recent enough to be used.
    pub learned_values: Option<RestoredValues>,
    /// The sequence number of this instance among those of its name, from 1.
    pub incarnation: u64,
    /// How each part of the snapshot was used.
    pub reports: Vec<PartReport>,
}

/// The learned values of a previous instance.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredValues {
    /// The values.
    pub values: LearnedValuesBySubject,
    /// The time since they were written.
    pub age: Duration,
}

/// Builds the start state of the instance with this name from the platform's list and from the snapshot read from its
/// folder.
pub fn restore(
    given: &ServerList,
    loaded: Result<Snapshot, SnapshotError>,
    instance_name: &str,
    now: UnixTime,
) -> RestoredState {
    match loaded {
        Ok(snapshot) if snapshot.instance_name == instance_name => {
            RestoredState::from_snapshot(given, snapshot, now)
        }
        // All instances started from one disk image find the same snapshot.
        Ok(snapshot) => {
            RestoredState::without_snapshot(given, PartReason::OtherInstance(snapshot.instance_name))
        }
        Err(error) => RestoredState::without_snapshot(given, PartReason::Unreadable(error)),
    }
}

impl RestoredState {
    fn from_snapshot(given: &ServerList, snapshot: Snapshot, now: UnixTime) -> RestoredState {
        let written_age = age_at(snapshot.written_at, now);
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

    /// The start state of the first instance of a name.
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

    /// Marks listed servers as draining if a previous instance knew them to drain or to have ended. The list may be
    /// older than that knowledge, and requests would otherwise be sent to them again.
    fn restore_ended_servers(&mut self, snapshot: &Snapshot, now: UnixTime) -> PartReport {
        let ended_servers = remembered_ended_servers(snapshot, now);
        let mut list = self.server_list.clone();
        let mut marked = 0;
        for server in list.servers.iter_mut().filter(|server| server.readiness == Readiness::Ready) {
            if ended_servers.iter().any(|ended| ended.is_same_server(server)) {
                server.readiness = Readiness::Draining;
                marked += 1;
            }
        }
        let has_ready = list.servers.iter().any(|server| server.readiness == Readiness::Ready);
        if marked > 0 && !has_ready {
            // Outdated records of drains must not leave a fleet of known servers without targets.
            return PartReport::discarded(SnapshotPart::EndedServers, PartReason::NoServerLeft);
        }
        let known = ended_servers.len();
        let are_all_remembered = known == snapshot.ended_servers.len();
        self.server_list = list;
        self.is_list_modified = marked > 0;
        self.ended_servers = ended_servers;
        let outcome = if are_all_remembered { PartOutcome::Restored } else { PartOutcome::Outdated };
        let reason = PartReason::EndedServers { known, listed: marked };
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

/// The age of the stored list, or why it can't be used.
fn usable_list_age(
    given: &ServerList,
    snapshot: &Snapshot,
    written_age: Result<Duration, PartReason>,
    now: UnixTime,
) -> Result<Duration, PartReason> {
    written_age?;
    let age = age_at(snapshot.list_confirmed_at.ok_or(PartReason::Unconfirmed)?, now)?;
    if age > MAX_LIST_AGE {
        return Err(PartReason::Age { age });
    }
    let version = snapshot.server_list.version;
    if version < given.version && !given.servers.is_empty() {
        return Err(PartReason::EarlierVersion { version, given: given.version });
    }
    Ok(age)
}

/// The servers recently reported as draining or ended; only the latest ones if there are too many. Reports from the
/// future, which occur after the clock was set back, are used too: at worst they keep requests from a server.
fn remembered_ended_servers(snapshot: &Snapshot, now: UnixTime) -> Vec<EndedServer> {
    let is_recent = |ended: &&EndedServer| age_at(ended.reported_at, now).unwrap_or_default() <= MAX_LIST_AGE;
    let mut ended_servers: Vec<EndedServer> =
        snapshot.ended_servers.iter().filter(is_recent).cloned().collect();
    ended_servers.sort_by_key(|ended| ended.reported_at);
    ended_servers.drain(..ended_servers.len().saturating_sub(MAX_ENDED_SERVERS));
    ended_servers
}

/// The age of data written at a given time; an error if that time is in the future.
fn age_at(written_at: UnixTime, now: UnixTime) -> Result<Duration, PartReason> {
    let ahead = written_at.duration_since(now);
    if ahead > MAX_CLOCK_SKEW {
        return Err(PartReason::FromTheFuture { ahead });
    }
    Ok(now.duration_since(written_at))
}
