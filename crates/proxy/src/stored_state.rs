//! What this incarnation leaves to the next, where the operators grant a folder: names for what the decisions know by numbers.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use mosshead_decide::interface::*;
use mosshead_decide::{LearnedValue, NameTable, Subject};
use mosshead_snapshot::restore::RestoredState;
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::{EndedServer, LearnedFigures, MAX_ENDED_SERVERS, Snapshot};

use crate::snapshot_writer::SnapshotWriter;

/// The clock that all machines read.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Stored state of this incarnation.
pub struct StoredState {
    writer: SnapshotWriter,
    instance: String,
    life: u64,
    /// When discovery last told its list, in this incarnation or a former one.
    told_ms: u64,
    /// Nodes that drain or have gone.
    pub left: Vec<EndedServer>,
    /// What a former incarnation learnt, and how old that is, until this one starts from it.
    learnt: Option<(BTreeMap<String, LearnedFigures>, Seconds)>,
}

impl StoredState {
    pub fn new(writer: SnapshotWriter, instance: &str, believed: RestoredState) -> Self {
        let RestoredState { told_ms, left, learnt, life, .. } = believed;
        Self { writer, instance: instance.to_owned(), life, told_ms, left, learnt }
    }

    pub fn incarnation(&self) -> u64 {
        self.life
    }

    /// Discovery has told this of the servers that were on the list before, or are on it now.
    pub fn record_list<'a>(&mut self, before: &[ListedServer], now: impl Iterator<Item = &'a ListedServer>) {
        self.told_ms = unix_ms();
        let now: BTreeMap<&str, &ListedServer> = now.map(|machine| (machine.id.as_str(), machine)).collect();
        let serves = |machine: &&&ListedServer| machine.readiness == Readiness::Ready;
        self.left.retain(|left| {
            let there = now.get(left.id.as_str()).filter(serves);
            there.is_none_or(|machine| machine.started_ms != left.started_ms)
        });
        let gone = before.iter().filter(|machine| !now.contains_key(machine.id.as_str()));
        let drains = now.values().copied().filter(|machine| machine.readiness != Readiness::Ready);
        for machine in gone.chain(drains) {
            let same = |left: &EndedServer| left.id == machine.id && left.started_ms == machine.started_ms;
            if !self.left.iter().any(same) {
                let (id, started_ms, told_ms) = (machine.id.clone(), machine.started_ms, self.told_ms);
                self.left.push(EndedServer { id, started_ms, told_ms });
            }
        }
        self.left.drain(..self.left.len().saturating_sub(MAX_ENDED_SERVERS));
    }

    /// Leaves this to the next incarnation.
    pub fn write(&self, list: ServerList, learnt: BTreeMap<String, LearnedFigures>) {
        self.writer.submit(Snapshot {
            instance: self.instance.clone(),
            life: self.life,
            written_ms: unix_ms(),
            list,
            told_ms: self.told_ms,
            left: self.left.clone(),
            learnt,
        });
    }

    /// What a former incarnation learnt, once.
    pub fn take_learned(&mut self) -> Option<(BTreeMap<String, LearnedFigures>, Seconds)> {
        self.learnt.take()
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
    pub fn to_names(&self, figures: Vec<LearnedValue>) -> BTreeMap<String, LearnedFigures> {
        let mut all = BTreeMap::<String, LearnedFigures>::new();
        for LearnedValue { subject: of, name, value } in figures {
            if let Some(of) = self.name(of) {
                all.entry(of).or_default().insert(name, value);
            }
        }
        all
    }

    /// Numbers in place of names; what has no number here is left out.
    pub fn to_numbers(&self, named: &BTreeMap<String, LearnedFigures>) -> Vec<LearnedValue> {
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
