//! The contract of every log, tested on a disk in memory and in a directory of the file system.

mod memory_disk;

use memory_disk::MemoryDisk;
use mosshead_record_log::{
    Directory, Disk, DurableLog, FRAME_LENGTH, HEADER_LENGTH, LogError, MAX_FILE_LENGTH, MAX_RECORD_LENGTH,
    OpenedLog, RecordLog,
};

/// A place where a log can be opened repeatedly.
trait Location {
    type Disk: Disk;
    fn disk(&self) -> Self::Disk;

    fn open(&self) -> OpenedLog<Self::Disk> {
        RecordLog::open_on_disk(self.disk()).expect("the disk works")
    }
}

impl Location for MemoryDisk {
    type Disk = MemoryDisk;
    fn disk(&self) -> MemoryDisk {
        self.clone()
    }
}

impl Location for tempfile::TempDir {
    type Disk = Directory;
    fn disk(&self) -> Directory {
        Directory::new(self.path()).expect("the directory exists")
    }
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

fn a_new_log_is_empty(location: &impl Location) {
    let OpenedLog { log, records: found, .. } = location.open();
    assert!(found.is_empty());
    assert_eq!(log.length(), HEADER_LENGTH as u64);
    drop(log);
    assert!(location.open().records.is_empty());
}

fn records_are_kept_in_order(location: &impl Location) {
    let OpenedLog { mut log, .. } = location.open();
    for text in ["one", "", "three"] {
        log.append(text.as_bytes()).unwrap();
    }
    log.sync().unwrap();
    assert_eq!(log.length(), (HEADER_LENGTH + 3 * FRAME_LENGTH + 8) as u64);
    drop(log);
    let OpenedLog { log, records: found, discarded_bytes } = location.open();
    assert_eq!(found, records(&["one", "", "three"]));
    assert_eq!(log.length(), (HEADER_LENGTH + 3 * FRAME_LENGTH + 8) as u64);
    assert_eq!(discarded_bytes, 0);
}

fn reopening_continues_after_the_last_record(location: &impl Location) {
    for round in 0..5u8 {
        let OpenedLog { mut log, records: found, .. } = location.open();
        assert_eq!(found, (0..round).map(|before| vec![before; 9]).collect::<Vec<_>>());
        log.append(&[round; 9]).unwrap();
        log.sync().unwrap();
    }
}

fn a_rewrite_replaces_all_records(location: &impl Location) {
    let OpenedLog { mut log, .. } = location.open();
    for _ in 0..100 {
        log.append(&[7; 100]).unwrap();
    }
    let long = log.length();
    log.rewrite(&records(&["sum", "of all"])).unwrap();
    assert!(log.length() < long / 10);
    log.append(b"more").unwrap();
    log.sync().unwrap();
    drop(log);
    let OpenedLog { mut log, records: found, .. } = location.open();
    assert_eq!(found, records(&["sum", "of all", "more"]));
    log.rewrite(&[]).unwrap();
    drop(log);
    let OpenedLog { mut log, records: found, .. } = location.open();
    assert!(found.is_empty());
    log.append(b"again").unwrap();
    log.sync().unwrap();
    drop(log);
    assert_eq!(location.open().records, records(&["again"]));
    assert_eq!(location.disk().file_names().unwrap().len(), 1);
}

fn a_rewrite_may_exceed_the_write_buffer(location: &impl Location) {
    let OpenedLog { mut log, .. } = location.open();
    let all: Vec<Vec<u8>> = (0..40u8).map(|part| vec![part; 50_000]).collect();
    log.rewrite(&all).unwrap();
    log.append(&[99; 300_000]).unwrap();
    log.sync().unwrap();
    drop(log);
    let found = location.open().records;
    assert_eq!(found.len(), 41);
    assert!(found[..40] == all[..]);
    assert_eq!(found[40], vec![99; 300_000]);
}

fn records_and_files_that_are_too_long_are_rejected(location: &impl Location) {
    let OpenedLog { mut log, .. } = location.open();
    log.append(b"short").unwrap();
    let before = log.length();
    let long = vec![1; MAX_RECORD_LENGTH + 1];
    assert!(matches!(log.append(&long), Err(LogError::TooLong(_))));
    assert!(matches!(log.rewrite(&[long]), Err(LogError::TooLong(_))));
    let many = vec![vec![1; MAX_RECORD_LENGTH]; MAX_FILE_LENGTH as usize / MAX_RECORD_LENGTH + 1];
    assert!(matches!(log.rewrite(&many), Err(LogError::TooLong(_))));
    assert_eq!(log.length(), before);
    let mut appended = 0;
    let error = loop {
        match log.append(&many[0]) {
            Ok(()) => appended += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, LogError::TooLong(_)));
    assert_eq!(appended, 3);
    log.sync().unwrap();
    drop(log);
    let OpenedLog { mut log, records: found, .. } = location.open();
    assert_eq!(found.len(), 4);
    log.append(b"short too").unwrap();
    log.sync().unwrap();
}

fn files_with_other_names_are_not_changed(location: &impl Location) {
    let mut disk = location.disk();
    for name in ["state.x", "state.01", "state.", "other", "state.7.new.new"] {
        disk.create(name).unwrap();
    }
    for name in ["state.7.new", "state.3"] {
        disk.create(name).unwrap();
    }
    let OpenedLog { mut log, records: found, .. } = location.open();
    assert!(found.is_empty());
    log.append(b"here").unwrap();
    log.sync().unwrap();
    drop(log);
    let found = location.open().records;
    assert_eq!(found, records(&["here"]));
    let mut names = location.disk().file_names().unwrap();
    names.sort();
    assert_eq!(names, ["other", "state.", "state.01", "state.7.new.new", "state.9", "state.x"]);
}

macro_rules! contract {
    ($($name:ident)*) => {
        mod in_memory {
            $(#[test] fn $name() { super::$name(&crate::memory_disk::MemoryDisk::new()); })*
        }
        mod in_a_directory {
            $(#[test] fn $name() { super::$name(&tempfile::tempdir().unwrap()); })*
        }
    };
}

contract! {
    a_new_log_is_empty records_are_kept_in_order reopening_continues_after_the_last_record a_rewrite_replaces_all_records a_rewrite_may_exceed_the_write_buffer
    records_and_files_that_are_too_long_are_rejected files_with_other_names_are_not_changed
}

#[test]
fn a_missing_directory_is_created() {
    let location = tempfile::tempdir().unwrap();
    let directory = location.path().join("a/b");
    let OpenedLog { mut log, records: found, .. } = RecordLog::open(&directory).unwrap();
    assert!(found.is_empty());
    log.append(b"x").unwrap();
    log.sync().unwrap();
    drop(log);
    assert_eq!(RecordLog::open(&directory).unwrap().records, records(&["x"]));
}

#[test]
fn opening_a_file_as_a_directory_fails() {
    let location = tempfile::NamedTempFile::new().unwrap();
    let error = RecordLog::open(location.path()).unwrap_err();
    assert!(error.code() == 701 || error.code() == 704, "{error}");
}
