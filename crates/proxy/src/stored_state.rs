//! What this incarnation leaves to the next, where the operators grant a folder: names for what the decisions know by numbers.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use mosshead_decide::interface::*;
use mosshead_decide::{LearnedValue, NameTable, Subject};
use mosshead_snapshot::restore::{RestoredState, RestoredValues};
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::{EndedServer, LearnedValuesBySubject, MAX_ENDED_SERVERS, Snapshot};
use mosshead_snapshot::unix_time::UnixTime;

use crate::snapshot_writer::SnapshotWriter;

/// The time by the clock that all machines read.
pub fn unix_time() -> UnixTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixTime::from_millis(since_epoch.as_millis() as u64)
}

/// Stored state of this incarnation.
pub struct StoredState {
    writer: SnapshotWriter,
    instance: String,
    incarnation: u64,
    /// When discovery last confirmed its list, to this incarnation or a former one.
    list_confirmed_at: Option<UnixTime>,
    /// Servers that drain or have ended.
    pub ended_servers: Vec<EndedServer>,
    /// What a former incarnation learned, until this one starts from it.
    learned_values: Option<RestoredValues>,
}

impl StoredState {
    pub fn new(writer: SnapshotWriter, instance: &str, believed: RestoredState) -> Self {
        let RestoredState { list_confirmed_at, ended_servers, learned_values, incarnation, .. } = believed;
        let instance = instance.to_owned();
        Self { writer, instance, incarnation, list_confirmed_at, ended_servers, learned_values }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Discovery has told this of the servers that were on the list before, or are on it now.
    pub fn record_list<'a>(&mut self, before: &[ListedServer], now: impl Iterator<Item = &'a ListedServer>) {
        let reported_at = unix_time();
        self.list_confirmed_at = Some(reported_at);
        let now: BTreeMap<&str, &ListedServer> = now.map(|machine| (machine.id.as_str(), machine)).collect();
        let serves = |machine: &&&ListedServer| machine.readiness == Readiness::Ready;
        self.ended_servers.retain(|ended| {
            let there = now.get(ended.id.as_str()).filter(serves);
            there.is_none_or(|machine| machine.started_at != ended.started_at)
        });
        let gone = before.iter().filter(|machine| !now.contains_key(machine.id.as_str()));
        let drains = now.values().copied().filter(|machine| machine.readiness != Readiness::Ready);
        for machine in gone.chain(drains) {
            if !self.ended_servers.iter().any(|ended| ended.is_same_server(machine)) {
                let (id, started_at) = (machine.id.clone(), machine.started_at);
                self.ended_servers.push(EndedServer { id, started_at, reported_at });
            }
        }
        self.ended_servers.drain(..self.ended_servers.len().saturating_sub(MAX_ENDED_SERVERS));
    }

    /// Leaves this to the next incarnation.
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

    /// What a former incarnation learned, once.
    pub fn take_learned(&mut self) -> Option<RestoredValues> {
        self.learned_values.take()
    }
}

/// The tables of names that numbers come from.
pub struct NameTables<'a> {
    pub zones: &'a NameTable,
    pub kinds: &'a NameTable,
    /// The name of each class, by its number.
    pub classes: Vec<&'a str>,
    /// The id of each server that is listed, by its number.
    pub nodes: BTreeMap<u32, &'a str>,
}

impl NameTables<'_> {
    fn name(&self, of: Subject) -> Option<String> {
        Some(match of {
            Subject::Fleet => "all".to_owned(),
            Subject::Class(ClassId(at)) => format!("class/{}", self.classes.get(at)?),
            Subject::MachineKind(MachineKindId(at)) => format!("kind/{}", self.kinds.find_name(at)?),
            Subject::Zone(ZoneId(at), bound) => {
                format!("{}/{}", if bound { "bound" } else { "zone" }, self.zones.find_name(at)?)
            }
            Subject::Endpoint(EndpointId(at)) => format!("node/{}", self.nodes.get(&at)?),
        })
    }

    fn number(&self, name: &str) -> Option<Subject> {
        if name == "all" {
            return Some(Subject::Fleet);
        }
        let (what, name) = name.split_once('/')?;
        Some(match what {
            // Of classes that were defined anew the latest is the one in force.
            "class" => Subject::Class(ClassId(self.classes.iter().rposition(|class| *class == name)?)),
            "kind" => Subject::MachineKind(MachineKindId(self.kinds.find_number(name)?)),
            "zone" | "bound" => Subject::Zone(ZoneId(self.zones.find_number(name)?), what == "bound"),
            "node" => Subject::Endpoint(EndpointId(*self.nodes.iter().find(|(_, id)| **id == name)?.0)),
            _ => return None,
        })
    }

    /// Names in place of numbers.
    pub fn to_names(&self, figures: Vec<LearnedValue>) -> LearnedValuesBySubject {
        let mut all = LearnedValuesBySubject::new();
        for LearnedValue { subject: of, name, value } in figures {
            if let Some(of) = self.name(of) {
                all.entry(of).or_default().insert(name, value);
            }
        }
        all
    }

    /// Numbers in place of names; what has no number here is left out.
    pub fn to_numbers(&self, named: &LearnedValuesBySubject) -> Vec<LearnedValue> {
        let known = named.iter().filter_map(|(name, figures)| Some((self.number(name)?, figures)));
        let figures = known.flat_map(|(of, figures)| {
            figures.iter().map(move |(name, value)| LearnedValue {
                subject: of,
                name: name.clone(),
                value: *value,
            })
        });
        figures.collect()
    }
}
