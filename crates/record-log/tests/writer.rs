//! The writer thread: order of completions, group commit, queue limits, and a hanging disk.

mod memory_disk;

use std::sync::mpsc::{Receiver, channel};

use memory_disk::MemoryDisk;
use mosshead_record_log::{
    LogError, LogWriter, MAX_GROUP_COMMIT, MAX_QUEUED_BYTES, MAX_RECORD_LENGTH, OpenedLog, RecordLog,
    WriteCompletion,
};
use rand_pcg::Pcg32;

fn start(disk: &MemoryDisk, queue_capacity: usize) -> (LogWriter, Receiver<WriteCompletion>) {
    let OpenedLog { log, .. } = RecordLog::open_on_disk(disk.clone()).unwrap();
    let (sender, completions) = channel();
    let writer = LogWriter::start(log, queue_capacity, move |completion| {
        let _ = sender.send(completion);
    });
    (writer.unwrap(), completions)
}

fn found(disk: &MemoryDisk) -> Vec<Vec<u8>> {
    RecordLog::open_on_disk(disk.clone()).unwrap().records
}

fn expected_completions(tokens: impl IntoIterator<Item = u64>, is_durable: bool) -> Vec<WriteCompletion> {
    tokens.into_iter().map(|token| WriteCompletion { token, is_durable }).collect()
}

#[test]
fn completions_come_in_order_and_after_the_sync() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, 64);
    for token in 0..50 {
        writer.append(token, vec![token as u8; 5]).unwrap();
    }
    let results: Vec<WriteCompletion> = completions.iter().take(50).collect();
    assert_eq!(results, expected_completions(0..50, true));
    disk.lose_power(&mut Pcg32::new(1, 1));
    drop(writer);
    assert_eq!(found(&disk), (0..50).map(|token| vec![token; 5]).collect::<Vec<_>>());
}

#[test]
fn records_that_wait_for_a_hanging_disk_share_one_sync() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, MAX_GROUP_COMMIT);
    let before = disk.file_sync_count();
    disk.suspend();
    for token in 0..MAX_GROUP_COMMIT as u64 {
        writer.append(token, vec![1]).unwrap();
    }
    assert!(completions.try_recv().is_err());
    disk.resume();
    assert_eq!(
        completions.iter().take(MAX_GROUP_COMMIT).collect::<Vec<_>>(),
        expected_completions(0..MAX_GROUP_COMMIT as u64, true)
    );
    assert_eq!(disk.file_sync_count() - before, 1);
    writer.close();
}

#[test]
fn the_queue_is_bounded() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, 4);
    disk.suspend();
    let accepted = (0..100).filter(|token| writer.append(*token, vec![1]).is_ok()).count();
    // The thread may have taken one request out of the queue.
    assert!(accepted == 4 || accepted == 5, "{accepted}");
    assert!(matches!(writer.append(1, vec![1]), Err(LogError::QueueFull)));
    assert!(matches!(writer.rewrite(1, vec![]), Err(LogError::QueueFull)));
    disk.resume();
    assert!(completions.iter().take(accepted).all(|result| result.is_durable));
    writer.append(7, vec![1]).unwrap();
    assert_eq!(completions.recv(), Ok(WriteCompletion { token: 7, is_durable: true }));
}

#[test]
fn the_queued_bytes_are_bounded() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, 64);
    disk.suspend();
    let accepted = (0..64).filter(|token| writer.append(*token, vec![1; MAX_RECORD_LENGTH]).is_ok()).count();
    assert_eq!(accepted as u64, MAX_QUEUED_BYTES / MAX_RECORD_LENGTH as u64);
    disk.resume();
    assert_eq!(completions.iter().take(accepted).filter(|result| result.is_durable).count(), accepted);
    writer.append(9, vec![1]).unwrap();
    assert_eq!(completions.recv(), Ok(WriteCompletion { token: 9, is_durable: true }));
}

#[test]
fn a_rewrite_is_executed_in_order() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, 16);
    disk.suspend();
    writer.append(1, vec![1]).unwrap();
    writer.rewrite(2, vec![vec![2], vec![3]]).unwrap();
    writer.append(3, vec![4]).unwrap();
    disk.resume();
    assert_eq!(completions.iter().take(3).collect::<Vec<_>>(), expected_completions(1..4, true));
    assert_eq!(writer.length(), disk.contents("state.2").unwrap().len() as u64);
    assert_eq!(writer.last_error_code(), None);
    writer.close();
    assert_eq!(found(&disk), [vec![2], vec![3], vec![4]]);
}

#[test]
fn a_failed_sync_fails_all_records_of_its_group() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, 16);
    disk.suspend();
    disk.fail_next_sync(&mut Pcg32::new(1, 1));
    for token in 0..3 {
        writer.append(token, vec![1]).unwrap();
    }
    writer.rewrite(3, vec![]).unwrap();
    writer.append(4, vec![5]).unwrap();
    disk.resume();
    let results: Vec<WriteCompletion> = completions.iter().take(5).collect();
    assert!(results.iter().map(|result| result.token).eq(0..5));
    assert_eq!(
        results.iter().map(|result| result.is_durable).collect::<Vec<_>>(),
        [false, false, false, true, true]
    );
    assert_eq!(writer.last_error_code(), Some(703));
    writer.close();
    assert_eq!(found(&disk), [vec![5]]);
}

#[test]
fn a_full_disk_fails_one_record_and_accepts_the_next() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, 16);
    disk.set_free_space(Some(60));
    for (token, size) in [(0, 10), (1, 500), (2, 1)] {
        writer.append(token, vec![9; size]).unwrap();
        assert_eq!(completions.recv(), Ok(WriteCompletion { token, is_durable: token == 0 }));
    }
    assert_eq!(writer.last_error_code(), Some(702));
    disk.set_free_space(None);
    writer.append(3, vec![3]).unwrap();
    assert_eq!(completions.recv(), Ok(WriteCompletion { token: 3, is_durable: true }));
    writer.close();
    assert_eq!(found(&disk), [vec![9; 10], vec![3]]);
}

#[test]
fn dropping_the_writer_still_executes_what_is_queued() {
    let disk = MemoryDisk::new();
    let (writer, completions) = start(&disk, 16);
    disk.suspend();
    for token in 0..9 {
        writer.append(token, vec![1]).unwrap();
    }
    drop(writer);
    disk.resume();
    assert_eq!(completions.iter().collect::<Vec<_>>(), expected_completions(0..9, true));
}
