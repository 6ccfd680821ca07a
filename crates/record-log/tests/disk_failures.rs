//! Logs on disks that fail, fill up and lose power.

mod memory_disk;

use memory_disk::MemoryDisk;
use mosshead_record_log::{DurableLog, LogError, OpenedLog, RecordLog};
use rand_pcg::Pcg32;

const OLD: [&[u8]; 3] = [b"old one", b"old two", b"old three"];
const NEW: [&[u8]; 2] = [b"new one", b"new two"];

fn to_records(records: &[&[u8]]) -> Vec<Vec<u8>> {
    records.iter().map(|record| record.to_vec()).collect()
}

fn open(disk: &MemoryDisk) -> OpenedLog<MemoryDisk> {
    let opened = RecordLog::open_on_disk(disk.clone()).expect("the disk works");
    assert!(opened.log.is_durable());
    opened
}

fn log_with_old_records() -> (MemoryDisk, RecordLog<MemoryDisk>) {
    let disk = MemoryDisk::new();
    let OpenedLog { mut log, .. } = open(&disk);
    for record in OLD {
        log.append(record).unwrap();
    }
    log.sync().unwrap();
    (disk, log)
}

#[test]
fn a_first_opening_that_fails_at_any_operation_can_be_repeated() {
    for seed in 0..200 {
        let mut random = Pcg32::new(seed, 1);
        for steps in 0.. {
            let disk = MemoryDisk::new();
            disk.fail_after_operations(steps);
            let succeeded = RecordLog::open_on_disk(disk.clone()).is_ok();
            disk.lose_power(&mut random);
            let OpenedLog { mut log, records: found, .. } = open(&disk);
            assert!(found.is_empty());
            log.append(b"x").unwrap();
            log.sync().unwrap();
            disk.lose_power(&mut random);
            assert_eq!(open(&disk).records, to_records(&[b"x"]));
            if succeeded {
                break;
            }
        }
    }
}

#[test]
fn a_rewrite_that_fails_at_any_operation_is_atomic() {
    let mut seen = [0, 0];
    for seed in 0..200 {
        let mut random = Pcg32::new(seed, 2);
        for steps in 0.. {
            let (disk, mut log) = log_with_old_records();
            disk.fail_after_operations(steps);
            let succeeded = log.rewrite(&to_records(&NEW)).is_ok();
            disk.lose_power(&mut random);
            let OpenedLog { mut log, records: mut found, .. } = open(&disk);
            let is_new = found == to_records(&NEW);
            assert!(is_new || (!succeeded && found == to_records(&OLD)), "{found:?}");
            seen[usize::from(is_new)] += 1;
            // The records that were found are durable, and so are those appended to them.
            log.append(b"next").unwrap();
            log.sync().unwrap();
            disk.lose_power(&mut random);
            found.push(b"next".to_vec());
            assert_eq!(open(&disk).records, found);
            if succeeded && disk.operation_count() > 0 && steps > 12 {
                break;
            }
        }
    }
    assert!(seen[0] > 100 && seen[1] > 100, "{seen:?}");
}

#[test]
fn after_a_kill_in_a_rewrite_the_old_or_the_new_records_are_found() {
    for steps in 0..12 {
        let (disk, mut log) = log_with_old_records();
        disk.fail_after_operations(steps);
        let succeeded = log.rewrite(&to_records(&NEW)).is_ok();
        drop(log);
        disk.clear_failure();
        let found = open(&disk).records;
        assert!(found == to_records(&NEW) || (!succeeded && found == to_records(&OLD)));
        disk.lose_power(&mut Pcg32::new(steps, 3));
        assert_eq!(open(&disk).records, found, "records that were found once are durable");
    }
}

#[test]
fn after_a_failed_rewrite_the_log_continues_with_the_old_records() {
    for seed in 0..100 {
        for steps in 0..12 {
            let mut random = Pcg32::new(seed, 4);
            let (disk, mut log) = log_with_old_records();
            disk.fail_after_operations(steps);
            let succeeded = log.rewrite(&to_records(&NEW)).is_ok();
            disk.clear_failure();
            log.append(b"next").unwrap();
            log.sync().unwrap();
            disk.lose_power(&mut random);
            let mut expected = to_records(if succeeded { &NEW } else { &OLD });
            expected.push(b"next".to_vec());
            assert_eq!(open(&disk).records, expected, "failing after {steps} operations");
        }
    }
}

#[test]
fn a_full_disk_rejects_writes_and_the_log_continues() {
    for free_bytes in 0..200 {
        let (disk, mut log) = log_with_old_records();
        disk.set_free_space(Some(free_bytes));
        let mut expected = to_records(&OLD);
        for number in 0..6u8 {
            match log.append(&[number; 20]) {
                Ok(()) => expected.push(vec![number; 20]),
                Err(error) => assert!(error.is_disk_full() && error.code() == 702, "{error}"),
            }
        }
        assert!(expected.len() < 9);
        assert!(log.rewrite(&to_records(&NEW)).unwrap_err().is_disk_full());
        log.sync().unwrap();
        disk.set_free_space(None);
        log.append(b"space again").unwrap();
        log.sync().unwrap();
        expected.push(b"space again".to_vec());
        disk.lose_power(&mut Pcg32::new(free_bytes, 5));
        assert_eq!(open(&disk).records, expected);
    }
}

#[test]
fn a_log_on_a_full_disk_can_be_read() {
    let (disk, mut log) = log_with_old_records();
    disk.set_free_space(Some(7));
    log.append(b"no").unwrap_err();
    drop(log);
    disk.set_free_space(Some(0));
    let OpenedLog { mut log, records: found, .. } = RecordLog::open_on_disk(disk.clone()).unwrap();
    assert_eq!(found, to_records(&OLD));
    assert!(!log.is_durable());
    assert!(log.append(b"no").unwrap_err().is_disk_full());
    assert!(log.sync().unwrap_err().is_disk_full());
    disk.set_free_space(None);
    log.sync().unwrap();
    assert!(log.is_durable());
    log.append(b"yes").unwrap();
    log.sync().unwrap();
    disk.lose_power(&mut Pcg32::new(1, 1));
    assert_eq!(open(&disk).records, [to_records(&OLD), to_records(&[b"yes"])].concat());
}

#[test]
fn new_records_are_never_appended_after_a_hole() {
    for seed in 0..300 {
        let mut random = Pcg32::new(seed, 6);
        let (disk, mut log) = log_with_old_records();
        let end = disk.contents("state.1").unwrap().len();
        log.append(b"lost").unwrap();
        log.append(b"came back").unwrap();
        drop(log);
        let mut bytes = disk.contents("state.1").unwrap();
        bytes[end..end + 28].fill(0);
        let disk = MemoryDisk::new();
        disk.put_durable_file("state.1", bytes);
        if seed % 3 > 0 {
            disk.fail_after_operations(seed % 5);
        }
        let OpenedLog { mut log, records: found, discarded_bytes } =
            RecordLog::open_on_disk(disk.clone()).unwrap();
        assert_eq!(found, to_records(&OLD));
        assert!(discarded_bytes > 0);
        disk.clear_failure();
        log.append(b"lost").unwrap();
        assert!(log.is_durable());
        if seed % 2 == 0 {
            disk.lose_power(&mut random);
            let found = open(&disk).records;
            assert!(
                found == to_records(&OLD) || found == [to_records(&OLD), to_records(&[b"lost"])].concat(),
                "{found:?}"
            );
        } else {
            log.sync().unwrap();
            disk.lose_power(&mut random);
            assert_eq!(open(&disk).records, [to_records(&OLD), to_records(&[b"lost"])].concat());
        }
    }
}

#[test]
fn stale_bytes_after_a_repeated_record_are_not_records() {
    let (disk, mut log) = log_with_old_records();
    log.append(b"again").unwrap();
    let end = log.length() as usize;
    log.append(b"stale").unwrap();
    let stale = disk.contents("state.1").unwrap();
    disk.fail_next_sync(&mut Pcg32::new(1, 1));
    log.sync().unwrap_err();
    log.append(b"again").unwrap();
    // Simulates a truncation that did not reach the disk.
    let mut bytes = disk.contents("state.1").unwrap();
    assert_eq!(bytes.len(), end);
    bytes.extend_from_slice(&stale[end..]);
    let disk = MemoryDisk::new();
    disk.put_durable_file("state.1", bytes);
    assert_eq!(open(&disk).records, [to_records(&OLD), to_records(&[b"again"])].concat());
}

#[test]
fn an_opening_after_a_failed_sync_does_not_rely_on_the_page_cache() {
    for seed in 0..200 {
        let mut random = Pcg32::new(seed, 11);
        let (disk, mut log) = log_with_old_records();
        log.append(b"in the caches").unwrap();
        drop(log);
        disk.fail_next_sync(&mut random);
        let OpenedLog { log, records: found, .. } = RecordLog::open_on_disk(disk.clone()).unwrap();
        assert!(!log.is_durable());
        drop(log);
        let again = open(&disk).records;
        assert_eq!(again, found);
        disk.lose_power(&mut random);
        assert_eq!(open(&disk).records, found);
    }
}

#[test]
fn records_of_a_failed_sync_are_dropped() {
    for seed in 0..500 {
        let mut random = Pcg32::new(seed, 7);
        let (disk, mut log) = log_with_old_records();
        let length = log.length();
        log.append(b"gone one").unwrap();
        log.append(b"gone two").unwrap();
        disk.fail_next_sync(&mut random);
        assert!(matches!(log.sync(), Err(LogError::Sync(_))));
        assert_eq!(log.length(), length);
        if seed % 3 == 0 {
            // A process that starts now must not consider data durable that is only in the page cache.
            drop(log);
            assert_eq!(open(&disk).records, to_records(&OLD));
            continue;
        }
        log.append(b"gone one").unwrap();
        if seed % 3 == 1 {
            log.sync().unwrap();
            disk.lose_power(&mut random);
            assert_eq!(open(&disk).records, [to_records(&OLD), to_records(&[b"gone one"])].concat());
        } else {
            disk.lose_power(&mut random);
            let found = open(&disk).records;
            let all = [to_records(&OLD), to_records(&[b"gone one", b"gone two"])].concat();
            assert!(found.len() >= 3 && all.starts_with(&found), "{found:?}");
        }
    }
}

#[test]
fn a_sync_without_changes_performs_no_disk_operation() {
    let (disk, mut log) = log_with_old_records();
    let before = disk.operation_count();
    log.sync().unwrap();
    assert_eq!(disk.operation_count(), before);
}

#[test]
fn unsynced_records_are_lost_from_the_end_only() {
    let mut lengths = [0; 8];
    for seed in 0..2000 {
        let (disk, mut log) = log_with_old_records();
        for number in 0..4u8 {
            log.append(&[number; 30]).unwrap();
        }
        disk.lose_power(&mut Pcg32::new(seed, 8));
        assert!(log.append(b"late").is_err(), "a power loss closes open files");
        let found = open(&disk).records;
        let all = [to_records(&OLD), (0..4u8).map(|number| vec![number; 30]).collect()].concat();
        assert!(found.len() >= 3 && all.starts_with(&found), "{found:?}");
        lengths[found.len()] += 1;
    }
    assert!(lengths[3..].iter().all(|count| *count > 0), "{lengths:?}");
}

#[test]
fn a_sync_does_not_succeed_while_dropped_records_may_be_found_again() {
    for seed in 0..50 {
        let mut random = Pcg32::new(seed, 8);
        let (disk, mut log) = log_with_old_records();
        disk.reject_truncation(true);
        log.append(b"dropped").unwrap();
        disk.fail_next_sync(&mut random);
        assert!(log.sync().is_err());
        assert!(log.sync().is_err(), "the dropped record is still in the file");
        disk.reject_truncation(false);
        log.sync().unwrap();
        disk.lose_power(&mut random);
        assert_eq!(open(&disk).records, to_records(&OLD));
    }
}
