//! Tests of `mosshead::stored_state`.

use mosshead::snapshot_writer::SnapshotWriter;
use mosshead::stored_state::{NameTables, StoredState};
use mosshead_decide::interface::{ClassId, EndpointId, MachineKindId, Readiness, ZoneId};
use mosshead_decide::{LearnedValue, NameTable, Subject};
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::MAX_ENDED_SERVERS;
use mosshead_snapshot::unix_time::{ServerStart, UnixTime};

/// Guards what was learnt against other numbers in another life: names decide.
#[test]
fn figures_find_their_owner_by_name() {
    let tables = |classes: [&'static str; 2], nodes: [&'static str; 2]| {
        let nodes = nodes.into_iter().enumerate().map(|(at, id)| (at as u32, id)).collect();
        (NameTable::from_names(["a", "b"]), NameTable::from_names(["k"]), classes.to_vec(), nodes)
    };
    let figure = |of, value| LearnedValue { subject: of, name: "x".to_owned(), value };
    let (zones, kinds, classes, nodes) = tables(["book-lesson", "slot-lookup"], ["s-1", "s-2"]);
    let before = NameTables { zones: &zones, kinds: &kinds, classes, nodes };
    let all = vec![
        figure(Subject::Fleet, 1.0),
        figure(Subject::Class(ClassId(0)), 2.0),
        figure(Subject::MachineKind(MachineKindId(0)), 3.0),
        figure(Subject::Zone(ZoneId(1), true), 4.0),
        figure(Subject::Endpoint(EndpointId(1)), 5.0),
    ];
    let named = before.to_names(all);
    let (zones, kinds, classes, nodes) = tables(["slot-lookup", "book-lesson"], ["s-2", "s-9"]);
    let after = NameTables { zones: &zones, kinds: &kinds, classes, nodes };
    let mut numbered = after.to_numbers(&named);
    numbered.sort_by(|one, other| one.value.total_cmp(&other.value));
    let of: Vec<Subject> = numbered.iter().map(|figure| figure.subject).collect();
    let (class, node) = (Subject::Class(ClassId(1)), Subject::Endpoint(EndpointId(0)));
    assert_eq!(
        of,
        [Subject::Fleet, class, Subject::MachineKind(MachineKindId(0)), Subject::Zone(ZoneId(1), true), node]
    );
}

/// Guards drains over lives: what leaves the list or drains is remembered, what serves again is not.
#[test]
fn who_leaves_is_remembered_until_it_serves_again() {
    let machine = |id: &str, readiness| ListedServer {
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
    let nothing = ServerList { version: 0, is_complete: true, servers: Vec::new() };
    let found = Err(mosshead_snapshot::snapshot::SnapshotError::Empty);
    let believed = mosshead_snapshot::restore::restore(&nothing, found, "n", UnixTime::from_millis(0));
    let mut stored = StoredState::new(writer, "n", believed);
    let (a, b) = (machine("a", Readiness::Ready), machine("b", Readiness::Ready));
    let drains = machine("b", Readiness::Draining);
    let ended =
        |stored: &StoredState| stored.ended_servers.iter().map(|ended| ended.id.clone()).collect::<Vec<_>>();
    stored.record_list(&[a.clone(), b.clone()], [&a, &drains].into_iter());
    assert_eq!(ended(&stored), ["b"]);
    stored.record_list(&[a.clone(), drains.clone()], [&drains].into_iter());
    assert_eq!(ended(&stored), ["b", "a"]);
    stored.record_list(&[drains], [&b].into_iter());
    assert_eq!(ended(&stored), ["a"]);
    for number in 0..2 * MAX_ENDED_SERVERS {
        stored.record_list(&[machine(&number.to_string(), Readiness::Ready)], std::iter::empty());
    }
    assert_eq!(stored.ended_servers.len(), MAX_ENDED_SERVERS);
}
