//! Compatibility with directories that an earlier version has written. Disks outlive programs, so such logs
//! must be opened with all their records, and the same calls must write the same files.

use std::collections::BTreeMap;
use std::path::Path;

use mosshead_record_log::{DurableLog, OpenedLog, RecordLog};
use mosshead_test_data::{FormerData, files_of};
use tempfile::TempDir;

fn former(directory: &str) -> FormerData {
    FormerData::of_package(env!("CARGO_MANIFEST_DIR")).subdirectory(directory)
}

fn copy_of(directory: &str) -> TempDir {
    let copy = tempfile::tempdir().unwrap();
    former(directory).copy_to(copy.path());
    copy
}

fn records() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), Vec::new(), vec![0xa5; 300], b"last".to_vec()]
}

/// Writes a log and returns its files at three points: after appends, after a rewrite and an append, and
/// after opening it again and appending.
fn write(directory: &Path) -> [BTreeMap<String, Vec<u8>>; 3] {
    let records = records();
    let OpenedLog { mut log, records: found, .. } = RecordLog::open(directory).unwrap();
    assert_eq!(found, Vec::<Vec<u8>>::new());
    records.iter().for_each(|record| log.append(record).unwrap());
    log.sync().unwrap();
    let appended = files_of(directory);
    log.rewrite(&records[1..3]).unwrap();
    log.append(&records[3]).unwrap();
    log.sync().unwrap();
    let rewritten = files_of(directory);
    drop(log);
    let OpenedLog { mut log, records: found, .. } = RecordLog::open(directory).unwrap();
    assert_eq!(found, records[1..]);
    log.append(&records[0]).unwrap();
    log.sync().unwrap();
    [appended, rewritten, files_of(directory)]
}

#[test]
fn the_same_calls_write_the_files_of_an_earlier_version() {
    let directory = tempfile::tempdir().unwrap();
    let [appended, rewritten, reopened] = write(directory.path());
    assert_eq!(appended, former("appended").files());
    assert_eq!(rewritten, former("rewritten").files());
    assert_eq!(reopened, former("reopened").files());
}

#[test]
fn directories_of_an_earlier_version_are_opened_with_all_their_records() {
    let records = records();
    let reopened = [&records[1..], &records[..1]].concat();
    for (name, expected) in
        [("appended", &records[..]), ("rewritten", &records[1..]), ("reopened", &reopened[..])]
    {
        let directory = copy_of(name);
        for _ in 0..2 {
            let OpenedLog { log, records: found, discarded_bytes } =
                RecordLog::open(directory.path()).unwrap();
            assert_eq!((found.as_slice(), log.is_durable(), discarded_bytes), (expected, true, 0), "{name}");
        }
    }
}

/// A process that was killed while writing leaves a partial record, or a partial file with its temporary
/// name.
#[test]
fn partial_writes_of_an_earlier_version_are_ignored() {
    let directory = copy_of("rewritten");
    let (name, mut bytes) = files_of(directory.path()).pop_first().unwrap();
    bytes.truncate(bytes.len() - 1);
    std::fs::write(directory.path().join(&name), &bytes).unwrap();
    std::fs::write(directory.path().join("state.7.new"), &bytes[..40]).unwrap();
    let OpenedLog { records: found, discarded_bytes, .. } = RecordLog::open(directory.path()).unwrap();
    assert_eq!(found, records()[1..3]);
    assert!(discarded_bytes > 0);
    assert_eq!(files_of(directory.path()).into_keys().collect::<Vec<_>>(), ["state.8"]);
}
