//! Tests of `mosshead::snapshot_writer`.

use std::collections::BTreeMap;
use std::{fs, io};

use mosshead::snapshot_writer::{acquire_lock, read, write};
use mosshead_snapshot::server_list::ServerList;
use mosshead_snapshot::snapshot::{
    self, MAX_SNAPSHOT_LEN, NEW_SNAPSHOT_FILE, SNAPSHOT_FILE, Snapshot, SnapshotError,
};
use mosshead_snapshot::unix_time::UnixTime;

fn snapshot(incarnation: u64) -> Snapshot {
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

/// A writer that ends between any two of its steps leaves the old snapshot, or the new one, never less.
#[test]
fn a_writer_may_end_at_every_step() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    assert_eq!(read(folder), Err(SnapshotError::Empty));
    write(folder, &snapshot(1)).expect("written");
    let bytes = snapshot::encode(&snapshot(2));
    for cut in 0..=bytes.len() {
        fs::write(folder.join(NEW_SNAPSHOT_FILE), &bytes[..cut]).expect("a part");
        assert_eq!(read(folder), Ok(snapshot(1)), "ended at byte {cut}");
    }
    write(folder, &snapshot(3)).expect("written over what was left");
    assert_eq!(read(folder), Ok(snapshot(3)));
}

/// A disk that is full leaves what was there.
#[test]
fn a_full_disk_keeps_the_old_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    write(folder, &snapshot(1)).expect("written");
    std::os::unix::fs::symlink("/dev/full", folder.join(NEW_SNAPSHOT_FILE)).expect("a link");
    let error = write(folder, &snapshot(2)).expect_err("no room");
    assert_eq!(error.kind(), io::ErrorKind::StorageFull);
    assert_eq!(read(folder), Ok(snapshot(1)));
}

/// Guards replacements: who comes second does not write.
#[test]
fn one_process_writes() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut first, mut second) = (None, None);
    acquire_lock(folder.path(), &mut first).expect("free");
    assert!(acquire_lock(folder.path(), &mut second).is_err());
    drop(first);
    acquire_lock(folder.path(), &mut second).expect("free again");
}

/// A file that grows without end is not read to its end.
#[test]
fn what_is_too_large_is_not_read() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join(SNAPSHOT_FILE), vec![b'x'; MAX_SNAPSHOT_LEN + 10]).expect("written");
    assert!(matches!(read(folder.path()), Err(SnapshotError::WrongLength { .. })));
}
