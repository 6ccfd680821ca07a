//! Tracks which registry entries are durable in a node's log, under failed writes, gaps and snapshots.

use std::net::{Ipv4Addr, SocketAddrV4};

use mosshead_control_plane::{DurableEntries, EntryVersion, RegistryRecord};
use mosshead_registry::{Delta, OperState, Registry, Server, SourceId, VersionVector};
use mosshead_time::{Duration, Instant};
use quickcheck::{Arbitrary, Gen, quickcheck};

const NOW: Instant = Instant::from_millis(1_000);

fn registry(source: u64) -> Registry {
    Registry::new(SourceId(source), Duration::from_millis(500))
}

fn server(number: u16, state: OperState, sequence: u64) -> Server {
    Server {
        id: format!("i-{number}"),
        service: "s".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, (number >> 8) as u8, number as u8), 8080),
        zone: "z".into(),
        software_revision: "v1".into(),
        slots: 8,
        state,
        is_suspected: false,
        warmup_remaining: Duration::ZERO,
        stage: None,
        models: Vec::new(),
        sequence,
    }
}

/// Records a heartbeat of a draining server. Returns its entry.
fn drain(registry: &mut Registry, number: u16) -> EntryVersion {
    registry.record_heartbeat(NOW, server(number, OperState::Draining, 2)).unwrap();
    registry.entry(&format!("i-{number}")).and_then(EntryVersion::of_shutdown).expect("a shutdown")
}

fn next_record(entries: &mut DurableEntries, registry: &Registry) -> RegistryRecord {
    entries.next_record(registry).expect("a record")
}

#[test]
fn an_entry_is_durable_only_when_its_record_is() {
    let (mut registry, mut entries) = (registry(1), DurableEntries::default());
    let entry = drain(&mut registry, 1);
    let record = next_record(&mut entries, &registry);
    assert!(!entry.is_covered_by(entries.durable()));
    assert!(entries.is_writing());
    assert_eq!(entries.next_record(&registry), None, "an entry is queued only once");
    entries.complete(record.token, true);
    assert!(entry.is_covered_by(entries.durable()));
    assert!(!entries.is_writing());
}

#[test]
fn entries_of_a_failed_write_are_queued_again() {
    let (mut registry, mut entries) = (registry(1), DurableEntries::default());
    let entry = drain(&mut registry, 1);
    let failed = next_record(&mut entries, &registry);
    entries.complete(failed.token, false);
    assert!(!entry.is_covered_by(entries.durable()));
    let again = next_record(&mut entries, &registry);
    assert_eq!(again.delta, failed.delta);
    entries.complete(again.token, true);
    assert!(entry.is_covered_by(entries.durable()));
}

/// The log writer may report one record as failed to append, and the next one of the same sync as durable.
#[test]
fn a_record_queued_after_a_failed_one_is_not_durable() {
    let (mut registry, mut entries) = (registry(1), DurableEntries::default());
    let first = drain(&mut registry, 1);
    let failed = next_record(&mut entries, &registry);
    let second = drain(&mut registry, 2);
    let following = next_record(&mut entries, &registry);
    entries.complete(failed.token, false);
    entries.complete(following.token, true);
    assert!(!first.is_covered_by(entries.durable()));
    assert!(!second.is_covered_by(entries.durable()));
    let both = next_record(&mut entries, &registry);
    assert_eq!(both.delta.entries.len(), 2);
}

#[test]
fn entries_of_several_records_are_durable_with_the_last_record() {
    let (mut registry, mut entries) = (registry(1), DurableEntries::default());
    for number in 0..1_000 {
        registry.record_heartbeat(NOW, server(number, OperState::Up, 1)).unwrap();
    }
    let entry = drain(&mut registry, 0);
    let mut tokens = Vec::new();
    while let Some(record) = entries.next_record(&registry) {
        tokens.push(record.token);
    }
    assert!(tokens.len() > 1);
    for token in tokens {
        assert!(!entry.is_covered_by(entries.durable()));
        entries.complete(token, true);
    }
    assert!(entry.is_covered_by(entries.durable()));
}

/// An entry above a gap is in no delta and in no record, and the entry that it superseded is no longer
/// written.
#[test]
fn an_entry_superseded_above_a_gap_is_not_durable() {
    let (mut local, mut entries) = (registry(1), DurableEntries::default());
    let mut other = registry(2);
    other.record_heartbeat(NOW, server(5, OperState::Up, 1)).unwrap();
    let first_of_other = other.missing_entries(&VersionVector::default(), 10);
    let entry = drain(&mut local, 1);
    other.record_heartbeat(NOW, server(1, OperState::Draining, 3)).unwrap();
    // The base of this delta is above the local node's version of the other node, which leaves a gap.
    let gap = other.missing_entries(&VersionVector::from_iter([(SourceId(2), 1)]), 10);
    local.merge(NOW, gap);
    drain(&mut local, 2);
    let record = next_record(&mut entries, &local);
    entries.complete(record.token, true);
    assert!(
        !entry.is_covered_by(entries.durable()),
        "neither the entry nor the one that superseded it is in the log"
    );
    local.merge(NOW, first_of_other);
    local.merge(NOW, other.missing_entries(&local.vector(), 10));
    while let Some(record) = entries.next_record(&local) {
        entries.complete(record.token, true);
    }
    assert_eq!(*entries.durable(), local.vector());
}

#[test]
fn only_one_snapshot_is_written_at_a_time() {
    let (mut registry, mut entries) = (registry(1), DurableEntries::default());
    let entry = drain(&mut registry, 1);
    let snapshot = entries.snapshot_record(&registry).expect("a snapshot");
    assert_eq!(entries.snapshot_record(&registry), None);
    assert_eq!(entries.next_record(&registry), None);
    entries.complete(snapshot.token, true);
    assert!(entry.is_covered_by(entries.durable()));
    assert!(entries.snapshot_record(&registry).is_some());
}

/// An entry in the log may be superseded in memory by an entry above a gap, which a snapshot would not
/// contain.
#[test]
fn the_log_is_not_replaced_while_there_is_an_entry_above_a_gap() {
    let (mut local, mut entries) = (registry(1), DurableEntries::default());
    drain(&mut local, 1);
    let record = next_record(&mut entries, &local);
    entries.complete(record.token, true);
    let mut other = registry(2);
    other.record_heartbeat(NOW, server(5, OperState::Up, 1)).unwrap();
    let first_of_other = other.missing_entries(&VersionVector::default(), 10);
    other.record_heartbeat(NOW, server(1, OperState::Draining, 3)).unwrap();
    local.merge(NOW, other.missing_entries(&VersionVector::from_iter([(SourceId(2), 1)]), 10));
    assert_eq!(entries.snapshot_record(&local), None);
    local.merge(NOW, first_of_other);
    local.merge(NOW, other.missing_entries(&local.vector(), 10));
    let snapshot = entries.snapshot_record(&local).expect("the gap is closed");
    let mut restarted = registry(3);
    restarted.merge(NOW, snapshot.delta);
    assert_eq!(restarted.get("i-1").map(|server| server.state), Some(OperState::Draining));
}

/// A random step of the model.
#[derive(Clone, Debug)]
enum Step {
    Heartbeat {
        number: u16,
        state: OperState,
    },
    Deregister {
        number: u16,
    },
    /// The other node publishes an entry. With a gap, only the latest entry arrives.
    Receive {
        number: u16,
        has_gap: bool,
    },
    Queue,
    Snapshot,
    Complete {
        is_durable: bool,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let number = u16::arbitrary(g) % 6;
        let states = [OperState::Up, OperState::Draining, OperState::Removed];
        match u8::arbitrary(g) % 8 {
            0 | 1 => Step::Heartbeat { number, state: *g.choose(&states).expect("a state") },
            2 => Step::Deregister { number },
            3 | 4 => Step::Receive { number, has_gap: bool::arbitrary(g) },
            5 => Step::Queue,
            6 => Step::Snapshot,
            _ => Step::Complete { is_durable: u8::arbitrary(g) % 4 > 0 },
        }
    }
}

/// A node, another node that sends it entries, and the content of the first node's disk.
struct Model {
    local: Registry,
    other: Registry,
    entries: DurableEntries,
    pending: Vec<(RegistryRecord, bool)>,
    disk: Vec<Delta>,
    sequence: u64,
    acknowledged: Vec<(String, EntryVersion)>,
}

impl Model {
    fn apply(&mut self, step: &Step) {
        self.sequence += 1;
        match step {
            Step::Heartbeat { number, state } => {
                // A server that is shutting down never reports that it is up again.
                let known = self.local.get(&format!("i-{number}")).map_or(OperState::Up, |known| known.state);
                let reported = server(*number, known.max(*state), self.sequence);
                let _ = self.local.record_heartbeat(NOW, reported);
            }
            Step::Deregister { number } => {
                let _ = self.local.deregister(NOW, &format!("i-{number}"));
            }
            Step::Receive { number, has_gap } => {
                let before = self.other.version();
                let _ = self.other.record_heartbeat(NOW, server(*number, OperState::Draining, self.sequence));
                let base = match has_gap {
                    true => VersionVector::from_iter([(SourceId(2), before)]),
                    false => self.local.vector(),
                };
                self.local.merge(NOW, self.other.missing_entries(&base, 10));
            }
            Step::Queue => {
                while let Some(record) = self.entries.next_record(&self.local) {
                    self.pending.push((record, false));
                }
            }
            Step::Snapshot => {
                self.pending.extend(self.entries.snapshot_record(&self.local).map(|record| (record, true)));
            }
            Step::Complete { is_durable } => self.complete(*is_durable),
        }
        self.acknowledge();
    }

    fn complete(&mut self, is_durable: bool) {
        if self.pending.is_empty() {
            return;
        }
        let (record, is_snapshot) = self.pending.remove(0);
        if is_durable {
            if is_snapshot {
                self.disk.clear();
            }
            self.disk.push(record.delta);
        }
        self.entries.complete(record.token, is_durable);
    }

    /// Remembers each shutdown that counts as durable: it must never be lost.
    fn acknowledge(&mut self) {
        for entry in self.local.entries() {
            if let Some(version) = EntryVersion::of_shutdown(entry)
                && version.is_covered_by(self.entries.durable())
            {
                self.acknowledged.push((entry.server.id.clone(), version));
            }
        }
    }

    /// Returns true if a process that starts with this disk knows every acknowledged shutdown.
    fn survives_a_restart(&self) -> bool {
        let mut restarted = registry(3);
        self.disk.iter().for_each(|delta| {
            restarted.merge(NOW, delta.clone());
        });
        self.acknowledged
            .iter()
            .all(|(id, _)| restarted.get(id).is_some_and(|server| server.state >= OperState::Draining))
    }
}

quickcheck! {
    /// Whichever writes fail, in whatever order: a shutdown that once counted as durable is known after a
    /// restart.
    fn durable_shutdowns_are_known_after_a_restart(steps: Vec<Step>) -> bool {
        let mut model = Model {
            local: registry(1),
            other: registry(2),
            entries: DurableEntries::default(),
            pending: Vec::new(),
            disk: Vec::new(),
            sequence: 0,
            acknowledged: Vec::new(),
        };
        steps.iter().all(|step| {
            model.apply(step);
            model.survives_a_restart()
        })
    }
}
