//! Disks that fail, fill up and lose power.

use mosshead_record_log::{DurableLog, LogError, MemoryDisk, RecordLog};
use rand_pcg::Pcg32;

const OLD: [&[u8]; 3] = [b"old one", b"old two", b"old three"];
const NEW: [&[u8]; 2] = [b"new one", b"new two"];

fn owned(records: &[&[u8]]) -> Vec<Vec<u8>> {
    records.iter().map(|record| record.to_vec()).collect()
}

fn open(disk: &MemoryDisk) -> (RecordLog<MemoryDisk>, Vec<Vec<u8>>) {
    let (store, found) = RecordLog::open_on_disk(disk.clone()).expect("the store opens");
    assert!(store.is_durable());
    (store, found)
}

fn with_old() -> (MemoryDisk, RecordLog<MemoryDisk>) {
    let disk = MemoryDisk::new();
    let (mut store, _) = open(&disk);
    for record in OLD {
        store.append(record).unwrap();
    }
    store.sync().unwrap();
    (disk, store)
}

#[test]
fn a_first_opening_cut_at_each_step_is_made_up_for() {
    for seed in 0..200 {
        let mut random = Pcg32::new(seed, 1);
        for steps in 0.. {
            let disk = MemoryDisk::new();
            disk.fail_after_operations(steps);
            let done = RecordLog::open_on_disk(disk.clone()).is_ok();
            disk.lose_power(&mut random);
            let (mut store, found) = open(&disk);
            assert!(found.is_empty());
            store.append(b"x").unwrap();
            store.sync().unwrap();
            disk.lose_power(&mut random);
            assert_eq!(open(&disk).1, owned(&[b"x"]));
            if done {
                break;
            }
        }
    }
}

#[test]
fn a_rewrite_cut_at_each_step_happens_wholly_or_not_at_all() {
    let mut seen = [0, 0];
    for seed in 0..200 {
        let mut random = Pcg32::new(seed, 2);
        for steps in 0.. {
            let (disk, mut store) = with_old();
            disk.fail_after_operations(steps);
            let done = store.rewrite(&owned(&NEW)).is_ok();
            disk.lose_power(&mut random);
            let (mut store, mut found) = open(&disk);
            let is_new = found == owned(&NEW);
            assert!(is_new || (!done && found == owned(&OLD)), "{found:?}");
            seen[usize::from(is_new)] += 1;
            // What is found is kept, and what comes behind it too.
            store.append(b"next").unwrap();
            store.sync().unwrap();
            disk.lose_power(&mut random);
            found.push(b"next".to_vec());
            assert_eq!(open(&disk).1, found);
            if done && disk.operation_count() > 0 && steps > 12 {
                break;
            }
        }
    }
    assert!(seen[0] > 100 && seen[1] > 100, "{seen:?}");
}

#[test]
fn a_process_killed_in_a_rewrite_finds_one_or_the_other() {
    for steps in 0..12 {
        let (disk, mut store) = with_old();
        disk.fail_after_operations(steps);
        let done = store.rewrite(&owned(&NEW)).is_ok();
        drop(store);
        disk.clear_failure();
        let (_, found) = open(&disk);
        assert!(found == owned(&NEW) || (!done && found == owned(&OLD)));
        disk.lose_power(&mut Pcg32::new(steps, 3));
        assert_eq!(open(&disk).1, found, "what was found once is kept");
    }
}

#[test]
fn after_a_failed_rewrite_the_old_records_go_on() {
    for seed in 0..100 {
        for steps in 0..12 {
            let mut random = Pcg32::new(seed, 4);
            let (disk, mut store) = with_old();
            disk.fail_after_operations(steps);
            let done = store.rewrite(&owned(&NEW)).is_ok();
            disk.clear_failure();
            store.append(b"next").unwrap();
            store.sync().unwrap();
            disk.lose_power(&mut random);
            let mut expected = owned(if done { &NEW } else { &OLD });
            expected.push(b"next".to_vec());
            assert_eq!(open(&disk).1, expected, "cut after {steps}");
        }
    }
}

#[test]
fn a_full_disk_refuses_and_the_store_goes_on() {
    for room in 0..200 {
        let (disk, mut store) = with_old();
        disk.set_free_space(Some(room));
        let mut kept = owned(&OLD);
        for number in 0..6u8 {
            match store.append(&[number; 20]) {
                Ok(()) => kept.push(vec![number; 20]),
                Err(fault) => assert!(fault.is_disk_full() && fault.code() == 702, "{fault}"),
            }
        }
        assert!(kept.len() < 9);
        assert!(store.rewrite(&owned(&NEW)).unwrap_err().is_disk_full());
        store.sync().unwrap();
        disk.set_free_space(None);
        store.append(b"room again").unwrap();
        store.sync().unwrap();
        kept.push(b"room again".to_vec());
        disk.lose_power(&mut Pcg32::new(room, 5));
        assert_eq!(open(&disk).1, kept);
    }
}

#[test]
fn a_store_on_a_full_disk_can_be_read() {
    let (disk, mut store) = with_old();
    disk.set_free_space(Some(7));
    store.append(b"no").unwrap_err();
    drop(store);
    disk.set_free_space(Some(0));
    let (mut store, found) = RecordLog::open_on_disk(disk.clone()).unwrap();
    assert_eq!(found, owned(&OLD));
    assert!(!store.is_durable());
    assert!(store.append(b"no").unwrap_err().is_disk_full());
    assert!(store.sync().unwrap_err().is_disk_full());
    disk.set_free_space(None);
    store.sync().unwrap();
    assert!(store.is_durable());
    store.append(b"yes").unwrap();
    store.sync().unwrap();
    disk.lose_power(&mut Pcg32::new(1, 1));
    assert_eq!(open(&disk).1, [owned(&OLD), owned(&[b"yes"])].concat());
}

#[test]
fn what_stands_behind_a_hole_is_never_joined() {
    for seed in 0..300 {
        let mut random = Pcg32::new(seed, 6);
        let (disk, mut store) = with_old();
        let end = disk.contents("state.1").unwrap().len();
        store.append(b"lost").unwrap();
        store.append(b"came back").unwrap();
        drop(store);
        let mut bytes = disk.contents("state.1").unwrap();
        bytes[end..end + 28].fill(0);
        let disk = MemoryDisk::new();
        disk.put_durable_file("state.1", bytes);
        if seed % 3 > 0 {
            disk.fail_after_operations(seed % 5);
        }
        let (mut store, found) = RecordLog::open_on_disk(disk.clone()).unwrap();
        assert_eq!(found, owned(&OLD));
        assert!(store.discarded_bytes() > 0);
        disk.clear_failure();
        store.append(b"lost").unwrap();
        assert!(store.is_durable());
        if seed % 2 == 0 {
            disk.lose_power(&mut random);
            let found = open(&disk).1;
            assert!(found == owned(&OLD) || found == [owned(&OLD), owned(&[b"lost"])].concat(), "{found:?}");
        } else {
            store.sync().unwrap();
            disk.lose_power(&mut random);
            assert_eq!(open(&disk).1, [owned(&OLD), owned(&[b"lost"])].concat());
        }
    }
}

#[test]
fn bytes_behind_a_record_that_was_added_again_are_not_joined() {
    let (disk, mut store) = with_old();
    store.append(b"again").unwrap();
    let end = store.length() as usize;
    store.append(b"stale").unwrap();
    let stale = disk.contents("state.1").unwrap();
    disk.fail_next_sync(&mut Pcg32::new(1, 1));
    store.sync().unwrap_err();
    store.append(b"again").unwrap();
    // As if the cut had not reached the disk.
    let mut bytes = disk.contents("state.1").unwrap();
    assert_eq!(bytes.len(), end);
    bytes.extend_from_slice(&stale[end..]);
    let disk = MemoryDisk::new();
    disk.put_durable_file("state.1", bytes);
    assert_eq!(open(&disk).1, [owned(&OLD), owned(&[b"again"])].concat());
}

#[test]
fn a_failed_sync_at_the_opening_does_not_make_the_next_one_believe_the_caches() {
    for seed in 0..200 {
        let mut random = Pcg32::new(seed, 11);
        let (disk, mut store) = with_old();
        store.append(b"in the caches").unwrap();
        drop(store);
        disk.fail_next_sync(&mut random);
        let (store, found) = RecordLog::open_on_disk(disk.clone()).unwrap();
        assert!(!store.is_durable());
        drop(store);
        let (_, again) = open(&disk);
        assert_eq!(again, found);
        disk.lose_power(&mut random);
        assert_eq!(open(&disk).1, found);
    }
}

#[test]
fn what_a_failed_sync_did_not_cover_is_dropped() {
    for seed in 0..500 {
        let mut random = Pcg32::new(seed, 7);
        let (disk, mut store) = with_old();
        let length = store.length();
        store.append(b"gone one").unwrap();
        store.append(b"gone two").unwrap();
        disk.fail_next_sync(&mut random);
        assert!(matches!(store.sync(), Err(LogError::Sync(_))));
        assert_eq!(store.length(), length);
        if seed % 3 == 0 {
            // A process that starts now doesn't take what is only in the caches for kept.
            drop(store);
            assert_eq!(open(&disk).1, owned(&OLD));
            continue;
        }
        store.append(b"gone one").unwrap();
        if seed % 3 == 1 {
            store.sync().unwrap();
            disk.lose_power(&mut random);
            assert_eq!(open(&disk).1, [owned(&OLD), owned(&[b"gone one"])].concat());
        } else {
            disk.lose_power(&mut random);
            let found = open(&disk).1;
            let whole = [owned(&OLD), owned(&[b"gone one", b"gone two"])].concat();
            assert!(found.len() >= 3 && whole.starts_with(&found), "{found:?}");
        }
    }
}

#[test]
fn a_sync_with_nothing_new_costs_nothing() {
    let (disk, mut store) = with_old();
    let before = disk.operation_count();
    store.sync().unwrap();
    assert_eq!(disk.operation_count(), before);
}

#[test]
fn what_was_never_synced_may_go_but_only_from_the_end() {
    let mut lengths = [0; 8];
    for seed in 0..2000 {
        let (disk, mut store) = with_old();
        for number in 0..4u8 {
            store.append(&[number; 30]).unwrap();
        }
        disk.lose_power(&mut Pcg32::new(seed, 8));
        assert!(store.append(b"late").is_err(), "an open file ends with the power");
        let found = open(&disk).1;
        let whole = [owned(&OLD), (0..4u8).map(|number| vec![number; 30]).collect()].concat();
        assert!(found.len() >= 3 && whole.starts_with(&found), "{found:?}");
        lengths[found.len()] += 1;
    }
    assert!(lengths[3..].iter().all(|count| *count > 0), "{lengths:?}");
}
