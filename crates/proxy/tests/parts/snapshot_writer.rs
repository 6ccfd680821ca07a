//! Tests of `mosshead::snapshot_writer`.

use std::collections::BTreeMap;
use std::{fs, io};

use mosshead::snapshot_writer::{acquire_lock, read, write};
use mosshead_snapshot::server_list::ServerList;
use mosshead_snapshot::snapshot::{
    self, MAX_SNAPSHOT_LEN, NEW_SNAPSHOT_FILE, SNAPSHOT_FILE, Snapshot, SnapshotError,
};
use mosshead_snapshot::unix_time::UnixTime;

fn snapshot_of(incarnation: u64) -> Snapshot {
    Snapshot {
        instance_name: "n1".to_owned(),
        incarnation,
        written_at: UnixTime::from_millis(7),
        server_list: ServerList { version: 1, is_complete: true, servers: Vec::new() },
        list_confirmed_at: None,
        ended_servers: Vec::new(),
        learned_values: BTreeMap::new(),
    }
}

/// The old snapshot stays until the new one is complete.
#[test]
fn a_writer_that_is_interrupted_at_any_byte_leaves_the_old_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    assert_eq!(read(folder), Err(SnapshotError::Empty));
    write(folder, &snapshot_of(1)).expect("written");
    let bytes = snapshot::encode(&snapshot_of(2));
    for cut in 0..=bytes.len() {
        fs::write(folder.join(NEW_SNAPSHOT_FILE), &bytes[..cut]).expect("written in part");
        assert_eq!(read(folder), Ok(snapshot_of(1)), "interrupted at byte {cut}");
    }
    write(folder, &snapshot_of(3)).expect("written over an incomplete file");
    assert_eq!(read(folder), Ok(snapshot_of(3)));
}

#[test]
fn a_full_disk_leaves_the_old_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    write(folder, &snapshot_of(1)).expect("written");
    std::os::unix::fs::symlink("/dev/full", folder.join(NEW_SNAPSHOT_FILE)).expect("a link");
    let error = write(folder, &snapshot_of(2)).expect_err("the disk is full");
    assert_eq!(error.kind(), io::ErrorKind::StorageFull);
    assert_eq!(read(folder), Ok(snapshot_of(1)));
}

/// During a replacement, two processes of one name use the same folder.
#[test]
fn only_the_first_of_two_processes_gets_the_lock() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut first, mut second) = (None, None);
    acquire_lock(folder.path(), &mut first).expect("free");
    assert!(acquire_lock(folder.path(), &mut second).is_err());
    drop(first);
    acquire_lock(folder.path(), &mut second).expect("free again");
}

#[test]
fn a_snapshot_that_is_too_large_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join(SNAPSHOT_FILE), vec![b'x'; MAX_SNAPSHOT_LEN + 10]).expect("written");
    assert!(matches!(read(folder.path()), Err(SnapshotError::WrongLength { .. })));
}
