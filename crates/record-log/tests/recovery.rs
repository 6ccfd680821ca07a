//! Recovery of records from damaged files.

mod memory_disk;

use memory_disk::MemoryDisk;
use mosshead_record_log::{DurableLog, FRAME_LENGTH, HEADER_LENGTH, OpenedLog, RecordLog};
use quickcheck::quickcheck;

const SIZES: [usize; 6] = [5, 0, 17, 1, 40, 3];

fn sample() -> Vec<Vec<u8>> {
    SIZES.iter().enumerate().map(|(number, size)| vec![number as u8 + 1; *size]).collect()
}

/// Returns the bytes of a file with the sample records, the first two of which come from a rewrite.
fn file() -> Vec<u8> {
    let disk = MemoryDisk::new();
    let OpenedLog { mut log, .. } = RecordLog::open_on_disk(disk.clone()).unwrap();
    let sample = sample();
    log.rewrite(&sample[..2]).unwrap();
    for record in &sample[2..] {
        log.append(record).unwrap();
    }
    log.sync().unwrap();
    disk.contents("state.2").unwrap()
}

/// Returns the records found in a file of these bytes. Also appends one more and opens the log again.
fn recovered(bytes: Vec<u8>) -> Vec<Vec<u8>> {
    let disk = MemoryDisk::new();
    disk.put_durable_file("state.2", bytes);
    let OpenedLog { mut log, records: found, .. } = RecordLog::open_on_disk(disk.clone()).unwrap();
    log.append(b"behind").unwrap();
    log.sync().unwrap();
    drop(log);
    let OpenedLog { records: again, discarded_bytes, .. } = RecordLog::open_on_disk(disk).unwrap();
    assert_eq!(discarded_bytes, 0);
    assert_eq!(again[..found.len()], found);
    assert_eq!(again[found.len()..], [b"behind".to_vec()]);
    found
}

/// Returns how many records end at or before an offset.
fn complete_records_before(offset: usize) -> usize {
    let mut end = HEADER_LENGTH;
    SIZES
        .iter()
        .take_while(|size| {
            end += FRAME_LENGTH + **size;
            end <= offset
        })
        .count()
}

#[test]
fn a_truncated_file_keeps_the_records_before_the_cut() {
    let file = file();
    for cut in 0..=file.len() {
        let found = recovered(file[..cut].to_vec());
        assert_eq!(found, sample()[..complete_records_before(cut)], "cut at {cut}");
    }
}

#[test]
fn records_end_before_a_flipped_bit() {
    let file = file();
    for bit in 0..file.len() * 8 {
        let mut damaged = file.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        let found = recovered(damaged);
        let complete = if bit / 8 < HEADER_LENGTH { 0 } else { complete_records_before(bit / 8) };
        assert_eq!(found, sample()[..complete], "bit {bit}");
    }
}

#[test]
fn records_end_before_a_hole() {
    let file = file();
    for start in (0..file.len()).step_by(3) {
        for end in (start + 1..=file.len()).step_by(7) {
            let mut damaged = file.clone();
            damaged[start..end].fill(0);
            if damaged == file {
                continue;
            }
            let found = recovered(damaged);
            assert!(sample().starts_with(&found), "hole {start}..{end}");
            assert!(
                found.len() >= if start < HEADER_LENGTH { 0 } else { complete_records_before(start) },
                "hole {start}..{end}"
            );
        }
    }
}

#[test]
fn records_end_before_a_record_out_of_sequence() {
    let file = file();
    let ends: Vec<usize> = SIZES
        .iter()
        .scan(HEADER_LENGTH, |end, size| {
            *end += FRAME_LENGTH + size;
            Some(*end)
        })
        .collect();
    // One record is missing; one is duplicated; two are swapped.
    let part = |from: usize, to: usize| file[ends[from]..ends[to]].to_vec();
    let head = file[..ends[1]].to_vec();
    for tail in [part(2, 5), [part(1, 2), part(1, 2)].concat(), [part(2, 3), part(1, 2), part(3, 5)].concat()]
    {
        let found = recovered([head.clone(), tail.clone()].concat());
        let complete = if tail.starts_with(&part(1, 2)) { 3 } else { 2 };
        assert_eq!(found, sample()[..complete]);
    }
}

#[test]
fn a_file_of_another_generation_is_ignored() {
    let file = file();
    let disk = MemoryDisk::new();
    disk.put_durable_file("state.3", file);
    assert!(RecordLog::open_on_disk(disk).unwrap().records.is_empty());
}

#[test]
fn the_newest_complete_generation_is_used() {
    let old = file();
    let disk = MemoryDisk::new();
    disk.put_durable_file("state.2", old.clone());
    let OpenedLog { mut log, .. } = RecordLog::open_on_disk(disk.clone()).unwrap();
    let newer: Vec<Vec<u8>> = (0..4).map(|number| vec![number; 8]).collect();
    log.rewrite(&newer).unwrap();
    drop(log);
    assert_eq!(disk.list(), ["state.4"]);
    let new = disk.contents("state.4").unwrap();
    for cut in 0..=new.len() {
        let disk = MemoryDisk::new();
        disk.put_durable_file("state.2", old.clone());
        disk.put_durable_file("state.4", new[..cut].to_vec());
        let OpenedLog { mut log, records: found, .. } = RecordLog::open_on_disk(disk.clone()).unwrap();
        assert_eq!(found, if cut == new.len() { newer.clone() } else { sample() }, "cut at {cut}");
        assert_eq!(disk.list().len(), 1);
        log.rewrite(&[b"next".to_vec()]).unwrap();
        assert_eq!(disk.list(), ["state.6"]);
    }
}

#[test]
fn generations_beyond_the_limit_are_ignored() {
    for number in [u64::MAX, 1 << 63] {
        let disk = MemoryDisk::new();
        disk.put_durable_file(&format!("state.{number}"), file());
        assert!(RecordLog::open_on_disk(disk.clone()).unwrap().records.is_empty());
        assert_eq!(disk.list(), ["state.1".to_owned(), format!("state.{number}")]);
    }
    let disk = MemoryDisk::new();
    disk.put_durable_file(&format!("state.{}", (1u64 << 63) - 1), file());
    assert_eq!(RecordLog::open_on_disk(disk).unwrap_err().code(), 704);
}

quickcheck! {
    fn arbitrary_files_are_opened_as_empty(bytes: Vec<u8>, name: u8) -> bool {
        let disk = MemoryDisk::new();
        disk.put_durable_file(&format!("state.{name}"), bytes);
        RecordLog::open_on_disk(disk).unwrap().records.is_empty()
    }

    fn an_arbitrary_tail_changes_no_record(tail: Vec<u8>) -> bool {
        recovered([file(), tail].concat()) == sample()
    }
}
