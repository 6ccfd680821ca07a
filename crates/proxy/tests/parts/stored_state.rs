//! Tests of `mosshead::stored_state`.

use mosshead::snapshot_writer::SnapshotWriter;
use mosshead::stored_state::{NameTables, StoredState};
use mosshead_decide::interface::{ClassId, EndpointId, MachineKindId, Readiness, ZoneId};
use mosshead_decide::{LearnedValue, NameTable, Subject};
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::MAX_ENDED_SERVERS;
use mosshead_snapshot::unix_time::{ServerStart, UnixTime};

/// The next incarnation uses different numbers.
#[test]
fn learned_values_find_their_subjects_by_name() {
    let tables = |classes: [&'static str; 2], servers: [&'static str; 2]| {
        let servers = servers.into_iter().enumerate().map(|(index, id)| (index as u32, id)).collect();
        (NameTable::from_names(["a", "b"]), NameTable::from_names(["k"]), classes.to_vec(), servers)
    };
    let value = |subject, value| LearnedValue { subject, name: "x".to_owned(), value };
    let (zones, kinds, classes, servers) = tables(["book-lesson", "slot-lookup"], ["s-1", "s-2"]);
    let before = NameTables { zones: &zones, kinds: &kinds, classes, servers };
    let named = before.to_names(vec![
        value(Subject::Fleet, 1.0),
        value(Subject::Class(ClassId(0)), 2.0),
        value(Subject::MachineKind(MachineKindId(0)), 3.0),
        value(Subject::ReservedServers(ZoneId(1)), 4.0),
        value(Subject::Endpoint(EndpointId(1)), 5.0),
    ]);
    let (zones, kinds, classes, servers) = tables(["slot-lookup", "book-lesson"], ["s-2", "s-9"]);
    let after = NameTables { zones: &zones, kinds: &kinds, classes, servers };
    let mut numbered = after.to_numbers(&named);
    numbered.sort_by(|one, other| one.value.total_cmp(&other.value));
    let subjects: Vec<Subject> = numbered.iter().map(|value| value.subject).collect();
    assert_eq!(
        subjects,
        [
            Subject::Fleet,
            Subject::Class(ClassId(1)),
            Subject::MachineKind(MachineKindId(0)),
            Subject::ReservedServers(ZoneId(1)),
            Subject::Endpoint(EndpointId(0)),
        ]
    );
}

#[test]
fn a_server_that_drains_or_leaves_the_list_is_stored_until_it_serves_again() {
    let server = |id: &str, readiness| ListedServer {
        id: id.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: String::new(),
        machine_kind: String::new(),
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: ServerStart::LONG_AGO,
    };
    let folder = tempfile::tempdir().expect("a folder");
    let writer = SnapshotWriter::start(folder.path().to_owned()).expect("a thread");
    let empty_list = ServerList { version: 0, is_complete: true, servers: Vec::new() };
    let found = Err(mosshead_snapshot::snapshot::SnapshotError::Empty);
    let restored = mosshead_snapshot::restore::restore(&empty_list, found, "n", UnixTime::from_millis(0));
    let mut stored = StoredState::new(writer, "n", restored);
    let (a, b) = (server("a", Readiness::Ready), server("b", Readiness::Ready));
    let draining_b = server("b", Readiness::Draining);
    let ended = |stored: &StoredState| {
        stored.ended_servers().iter().map(|ended| ended.id.clone()).collect::<Vec<_>>()
    };
    stored.record_list(&[a.clone(), b.clone()], [&a, &draining_b].into_iter());
    assert_eq!(ended(&stored), ["b"]);
    stored.record_list(&[a.clone(), draining_b.clone()], [&draining_b].into_iter());
    assert_eq!(ended(&stored), ["b", "a"]);
    stored.record_list(&[draining_b], [&b].into_iter());
    assert_eq!(ended(&stored), ["a"]);
    for number in 0..2 * MAX_ENDED_SERVERS {
        stored.record_list(&[server(&number.to_string(), Readiness::Ready)], std::iter::empty());
    }
    assert_eq!(stored.ended_servers().len(), MAX_ENDED_SERVERS);
}
