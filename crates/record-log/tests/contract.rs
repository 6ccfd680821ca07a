//! What every store holds to, over both disks.

use mosshead_record_log::{
    Directory, Disk, DurableLog, FRAME_LENGTH, HEADER_LENGTH, LogError, MAX_FILE_LENGTH, MAX_RECORD_LENGTH,
    MemoryDisk, RecordLog,
};

/// A disk that can be opened again and again.
trait Place {
    type Disk: Disk;
    fn disk(&self) -> Self::Disk;

    fn open(&self) -> (RecordLog<Self::Disk>, Vec<Vec<u8>>) {
        RecordLog::open_on_disk(self.disk()).expect("the store opens")
    }
}

impl Place for MemoryDisk {
    type Disk = MemoryDisk;
    fn disk(&self) -> MemoryDisk {
        self.clone()
    }
}

impl Place for tempfile::TempDir {
    type Disk = Directory;
    fn disk(&self) -> Directory {
        Directory::new(self.path()).expect("the folder is there")
    }
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

fn empty_at_first(place: &impl Place) {
    let (store, found) = place.open();
    assert!(found.is_empty());
    assert_eq!(store.length(), HEADER_LENGTH as u64);
    drop(store);
    assert!(place.open().1.is_empty());
}

fn keeps_records_in_order(place: &impl Place) {
    let (mut store, _) = place.open();
    for text in ["one", "", "three"] {
        store.append(text.as_bytes()).unwrap();
    }
    store.sync().unwrap();
    assert_eq!(store.length(), (HEADER_LENGTH + 3 * FRAME_LENGTH + 8) as u64);
    drop(store);
    let (store, found) = place.open();
    assert_eq!(found, records(&["one", "", "three"]));
    assert_eq!(store.length(), (HEADER_LENGTH + 3 * FRAME_LENGTH + 8) as u64);
    assert_eq!(store.discarded_bytes(), 0);
}

fn goes_on_where_it_ended(place: &impl Place) {
    for round in 0..5u8 {
        let (mut store, found) = place.open();
        assert_eq!(found, (0..round).map(|before| vec![before; 9]).collect::<Vec<_>>());
        store.append(&[round; 9]).unwrap();
        store.sync().unwrap();
    }
}

fn rewrites(place: &impl Place) {
    let (mut store, _) = place.open();
    for _ in 0..100 {
        store.append(&[7; 100]).unwrap();
    }
    let long = store.length();
    store.rewrite(&records(&["sum", "of all"])).unwrap();
    assert!(store.length() < long / 10);
    store.append(b"more").unwrap();
    store.sync().unwrap();
    drop(store);
    let (mut store, found) = place.open();
    assert_eq!(found, records(&["sum", "of all", "more"]));
    store.rewrite(&[]).unwrap();
    drop(store);
    let (mut store, found) = place.open();
    assert!(found.is_empty());
    store.append(b"again").unwrap();
    store.sync().unwrap();
    drop(store);
    assert_eq!(place.open().1, records(&["again"]));
    assert_eq!(place.disk().names().unwrap().len(), 1);
}

fn rewrites_what_is_long(place: &impl Place) {
    let (mut store, _) = place.open();
    let all: Vec<Vec<u8>> = (0..40u8).map(|part| vec![part; 50_000]).collect();
    store.rewrite(&all).unwrap();
    store.append(&[99; 300_000]).unwrap();
    store.sync().unwrap();
    drop(store);
    let (_, found) = place.open();
    assert_eq!(found.len(), 41);
    assert!(found[..40] == all[..]);
    assert_eq!(found[40], vec![99; 300_000]);
}

fn refuses_what_is_too_long(place: &impl Place) {
    let (mut store, _) = place.open();
    store.append(b"short").unwrap();
    let before = store.length();
    let long = vec![1; MAX_RECORD_LENGTH + 1];
    assert!(matches!(store.append(&long), Err(LogError::TooLong(_))));
    assert!(matches!(store.rewrite(&[long]), Err(LogError::TooLong(_))));
    let many = vec![vec![1; MAX_RECORD_LENGTH]; MAX_FILE_LENGTH as usize / MAX_RECORD_LENGTH + 1];
    assert!(matches!(store.rewrite(&many), Err(LogError::TooLong(_))));
    assert_eq!(store.length(), before);
    let mut held = 0;
    let fault = loop {
        match store.append(&many[0]) {
            Ok(()) => held += 1,
            Err(fault) => break fault,
        }
    };
    assert!(matches!(fault, LogError::TooLong(_)));
    assert_eq!(held, 3);
    store.sync().unwrap();
    drop(store);
    let (mut store, found) = place.open();
    assert_eq!(found.len(), 4);
    store.append(b"short too").unwrap();
    store.sync().unwrap();
}

fn leaves_other_names_alone(place: &impl Place) {
    let mut disk = place.disk();
    for name in ["state.x", "state.01", "state.", "other", "state.7.new.new"] {
        disk.create(name).unwrap();
    }
    for name in ["state.7.new", "state.3"] {
        disk.create(name).unwrap();
    }
    let (mut store, found) = place.open();
    assert!(found.is_empty());
    store.append(b"here").unwrap();
    store.sync().unwrap();
    drop(store);
    let (_, found) = place.open();
    assert_eq!(found, records(&["here"]));
    let mut names = place.disk().names().unwrap();
    names.sort();
    assert_eq!(names, ["other", "state.", "state.01", "state.7.new.new", "state.9", "state.x"]);
}

macro_rules! contract {
    ($($name:ident)*) => {
        mod in_memory {
            $(#[test] fn $name() { super::$name(&mosshead_record_log::MemoryDisk::new()); })*
        }
        mod in_a_folder {
            $(#[test] fn $name() { super::$name(&tempfile::tempdir().unwrap()); })*
        }
    };
}

contract! {
    empty_at_first keeps_records_in_order goes_on_where_it_ended rewrites rewrites_what_is_long
    refuses_what_is_too_long leaves_other_names_alone
}

#[test]
fn a_missing_folder_is_made() {
    let place = tempfile::tempdir().unwrap();
    let folder = place.path().join("a/b");
    let (mut store, found) = RecordLog::open(&folder).unwrap();
    assert!(found.is_empty());
    store.append(b"x").unwrap();
    store.sync().unwrap();
    drop(store);
    assert_eq!(RecordLog::open(&folder).unwrap().1, records(&["x"]));
}

#[test]
fn a_folder_that_is_a_file_is_a_fault() {
    let place = tempfile::NamedTempFile::new().unwrap();
    let fault = RecordLog::open(place.path()).unwrap_err();
    assert!(fault.code() == 701 || fault.code() == 704, "{fault}");
}
