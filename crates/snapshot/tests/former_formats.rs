//! Snapshots written by earlier versions, which a new version must be able to read.

use std::collections::BTreeMap;

use mosshead_decide::interface::Readiness;
use mosshead_snapshot::server_list::{ListedServer, ServerList};
use mosshead_snapshot::snapshot::{
    EndedServer, LOCK_FILE, NEW_SNAPSHOT_FILE, SNAPSHOT_FILE, Snapshot, add_header, decode, encode,
};
use mosshead_snapshot::unix_time::{ServerStart, UnixTime};
use mosshead_test_data::FormerData;

fn file() -> Vec<u8> {
    FormerData::of_package(env!("CARGO_MANIFEST_DIR")).bytes("snapshot")
}

fn machine(id: &str, port: u16, readiness: Readiness) -> ListedServer {
    ListedServer {
        id: id.to_owned(),
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        zone: "east-a".to_owned(),
        machine_kind: "large".to_owned(),
        cell: 2,
        readiness,
        weight: 1.5,
        started_at: ServerStart::from_unix_millis(1_799_999_000_000.0),
    }
}

fn snapshot() -> Snapshot {
    let servers = vec![
        machine("s-1", 5001, Readiness::Ready),
        machine("s-2", 5002, Readiness::Draining),
        machine("s-3", 5003, Readiness::Removed),
    ];
    let ended = EndedServer {
        id: "s-0".to_owned(),
        started_at: ServerStart::from_unix_millis(1_799_998_000_000.0),
        reported_at: UnixTime::from_millis(1_799_999_990_000),
    };
    let figures = BTreeMap::from([("price".to_owned(), -3.5), ("service".to_owned(), 0.25)]);
    let owners = ["all", "class/chat", "kind/large", "zone/east-a", "node/s-1"];
    Snapshot {
        instance_name: "proxy-1".to_owned(),
        incarnation: 4,
        written_at: UnixTime::from_millis(1_799_999_999_000),
        server_list: ServerList { version: 12, is_complete: true, servers },
        list_confirmed_at: Some(UnixTime::from_millis(1_799_999_998_500)),
        ended_servers: vec![ended],
        learned_values: owners.map(|owner| (owner.to_owned(), figures.clone())).into(),
    }
}

#[test]
fn a_snapshot_of_an_earlier_version_is_read() {
    assert_eq!(decode(&file()), Ok(snapshot()));
    assert_eq!(decode(&encode(&snapshot())), Ok(snapshot()));
}

/// The order of the members of the JSON objects is not fixed, but the frame around them is.
#[test]
fn the_frame_is_written_as_in_earlier_versions() {
    let text = String::from_utf8(file()).unwrap();
    let (_, body) = text.split_once('\n').unwrap();
    assert_eq!(add_header(body), file());
}

#[test]
fn the_files_of_a_folder_have_the_names_of_earlier_versions() {
    assert_eq!([SNAPSHOT_FILE, NEW_SNAPSHOT_FILE, LOCK_FILE], ["snapshot", "snapshot.new", "lock"]);
}
