//! The state that this incarnation stores for the next one, if the operators' file names a folder for it.
//!
//! The balancer knows classes, zones, machine kinds and servers by number. Stored state uses their names, since the
//! next incarnation numbers them differently.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use mosshead_decide::interface::*;
use mosshead_decide::{LearnedValue, NameTable, Subject};
use mosshead_snapshot::restore::{RestoredState, RestoredValues};
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::{EndedServer, LearnedValuesBySubject, MAX_ENDED_SERVERS, Snapshot};
use mosshead_snapshot::unix_time::UnixTime;

use crate::snapshot_writer::SnapshotWriter;

/// The current wall-clock time.
pub fn unix_time() -> UnixTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime::from_millis(since_epoch.as_millis() as u64)
}

/// The stored state that does not come from the balancer.
pub struct StoredState {
    writer: SnapshotWriter,
    /// The proxy's name, which all its incarnations share.
    instance: String,
    incarnation: u64,
    /// When discovery last confirmed its list, to this incarnation or a previous one.
    list_confirmed_at: Option<UnixTime>,
    /// Servers that drain or have ended, the oldest entry first.
    ended_servers: Vec<EndedServer>,
    /// The values that a previous incarnation learned, until this one starts from them.
    learned_values: Option<RestoredValues>,
}

impl StoredState {
    pub fn new(writer: SnapshotWriter, instance: &str, restored: RestoredState) -> Self {
        Self {
            writer,
            instance: instance.to_owned(),
            incarnation: restored.incarnation,
            list_confirmed_at: restored.list_confirmed_at,
            ended_servers: restored.ended_servers,
            learned_values: restored.learned_values,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The servers that drain or have ended, the oldest entry first.
    pub fn ended_servers(&self) -> &[EndedServer] {
        &self.ended_servers
    }

    /// Records a list from discovery, given the servers that were listed `before` and those that are listed `now`.
    pub fn record_list<'a>(&mut self, before: &[ListedServer], now: impl Iterator<Item = &'a ListedServer>) {
        let reported_at = unix_time();
        self.list_confirmed_at = Some(reported_at);
        let now: BTreeMap<&str, &ListedServer> = now.map(|server| (server.id.as_str(), server)).collect();
        self.ended_servers.retain(|ended| {
            let listed = now.get(ended.id.as_str());
            let is_serving = listed
                .is_some_and(|server| server.readiness == Readiness::Ready && ended.is_same_server(server));
            !is_serving
        });
        let removed = before.iter().filter(|server| !now.contains_key(server.id.as_str()));
        let draining = now.values().copied().filter(|server| server.readiness != Readiness::Ready);
        for server in removed.chain(draining) {
            if !self.ended_servers.iter().any(|ended| ended.is_same_server(server)) {
                let (id, started_at) = (server.id.clone(), server.started_at);
                self.ended_servers.push(EndedServer { id, started_at, reported_at });
            }
        }
        self.ended_servers.drain(..self.ended_servers.len().saturating_sub(MAX_ENDED_SERVERS));
    }

    /// Stores the list and the learned values for the next incarnation.
    pub fn write(&self, server_list: ServerList, learned_values: LearnedValuesBySubject) {
        self.writer.submit(Snapshot {
            instance_name: self.instance.clone(),
            incarnation: self.incarnation,
            written_at: unix_time(),
            server_list,
            list_confirmed_at: self.list_confirmed_at,
            ended_servers: self.ended_servers.clone(),
            learned_values,
        });
    }

    /// Takes the values that a previous incarnation learned; none if they were taken before or there are none.
    pub fn take_learned(&mut self) -> Option<RestoredValues> {
        self.learned_values.take()
    }
}

/// The names of everything that the balancer knows by number.
pub struct NameTables<'a> {
    pub zones: &'a NameTable,
    pub kinds: &'a NameTable,
    /// The name of each class, indexed by its number.
    pub classes: Vec<&'a str>,
    /// The id of each listed server, indexed by its number.
    pub servers: BTreeMap<u32, &'a str>,
}

impl NameTables<'_> {
    /// The name of a subject in a snapshot.
    fn name(&self, subject: Subject) -> Option<String> {
        Some(match subject {
            Subject::Fleet => "all".to_owned(),
            Subject::Class(ClassId(number)) => format!("class/{}", self.classes.get(number)?),
            Subject::MachineKind(MachineKindId(number)) => format!("kind/{}", self.kinds.find_name(number)?),
            Subject::Zone(ZoneId(number)) => format!("zone/{}", self.zones.find_name(number)?),
            Subject::ReservedServers(ZoneId(number)) => format!("bound/{}", self.zones.find_name(number)?),
            Subject::Endpoint(EndpointId(number)) => format!("node/{}", self.servers.get(&number)?),
        })
    }

    /// The subject that has this name in a snapshot.
    fn subject(&self, name: &str) -> Option<Subject> {
        if name == "all" {
            return Some(Subject::Fleet);
        }
        let (subject_kind, name) = name.split_once('/')?;
        Some(match subject_kind {
            // If a class has several definitions, the latest one applies.
            "class" => Subject::Class(ClassId(self.classes.iter().rposition(|class| *class == name)?)),
            "kind" => Subject::MachineKind(MachineKindId(self.kinds.find_number(name)?)),
            "zone" => Subject::Zone(ZoneId(self.zones.find_number(name)?)),
            "bound" => Subject::ReservedServers(ZoneId(self.zones.find_number(name)?)),
            "node" => Subject::Endpoint(EndpointId(*self.servers.iter().find(|(_, id)| **id == name)?.0)),
            _ => return None,
        })
    }

    /// Converts learned values to the names of their subjects; those of subjects without a name are left out.
    pub fn to_names(&self, values: Vec<LearnedValue>) -> LearnedValuesBySubject {
        let mut named = LearnedValuesBySubject::new();
        for LearnedValue { subject, name, value } in values {
            if let Some(subject) = self.name(subject) {
                named.entry(subject).or_default().insert(name, value);
            }
        }
        named
    }

    /// Converts learned values to the numbers of their subjects; those of unknown subjects are left out.
    pub fn to_numbers(&self, named: &LearnedValuesBySubject) -> Vec<LearnedValue> {
        let known = named.iter().filter_map(|(name, values)| Some((self.subject(name)?, values)));
        let values = known.flat_map(|(subject, values)| {
            values.iter().map(move |(name, value)| LearnedValue {
                subject,
                name: name.clone(),
                value: *value,
            })
        });
        values.collect()
    }
}
