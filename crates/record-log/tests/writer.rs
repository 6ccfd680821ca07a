//! The thread of a store: order, grouping, bounds, a disk that hangs.

use std::sync::mpsc::{Receiver, channel};

use mosshead_record_log::{
    LogError, LogWriter, MAX_GROUP_COMMIT, MAX_QUEUED_BYTES, MAX_RECORD_LENGTH, MemoryDisk, RecordLog,
    WriteCompletion,
};
use rand_pcg::Pcg32;

fn start(disk: &MemoryDisk, room: usize) -> (LogWriter, Receiver<WriteCompletion>) {
    let (store, _) = RecordLog::open_on_disk(disk.clone()).unwrap();
    let (answers, answered) = channel();
    let keeper = LogWriter::start(store, room, move |done| {
        let _ = answers.send(done);
    });
    (keeper.unwrap(), answered)
}

fn found(disk: &MemoryDisk) -> Vec<Vec<u8>> {
    RecordLog::open_on_disk(disk.clone()).unwrap().1
}

fn done(tokens: impl IntoIterator<Item = u64>, ok: bool) -> Vec<WriteCompletion> {
    tokens.into_iter().map(|token| WriteCompletion { token, is_durable: ok }).collect()
}

#[test]
fn answers_come_in_order_and_after_the_sync() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 64);
    for token in 0..50 {
        keeper.append(token, vec![token as u8; 5]).unwrap();
    }
    let answers: Vec<WriteCompletion> = answered.iter().take(50).collect();
    assert_eq!(answers, done(0..50, true));
    disk.lose_power(&mut Pcg32::new(1, 1));
    drop(keeper);
    assert_eq!(found(&disk), (0..50).map(|token| vec![token; 5]).collect::<Vec<_>>());
}

#[test]
fn what_waits_for_a_disk_that_hangs_shares_one_sync() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, MAX_GROUP_COMMIT);
    let before = disk.file_sync_count();
    disk.suspend();
    for token in 0..MAX_GROUP_COMMIT as u64 {
        keeper.append(token, vec![1]).unwrap();
    }
    assert!(answered.try_recv().is_err());
    disk.resume();
    assert_eq!(
        answered.iter().take(MAX_GROUP_COMMIT).collect::<Vec<_>>(),
        done(0..MAX_GROUP_COMMIT as u64, true)
    );
    assert_eq!(disk.file_sync_count() - before, 1);
    keeper.close();
}

#[test]
fn the_queue_is_bounded() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 4);
    disk.suspend();
    let taken = (0..100).filter(|token| keeper.append(*token, vec![1]).is_ok()).count();
    // One may be in the hands of the thread.
    assert!(taken == 4 || taken == 5, "{taken}");
    assert!(matches!(keeper.append(1, vec![1]), Err(LogError::QueueFull)));
    assert!(matches!(keeper.rewrite(1, vec![]), Err(LogError::QueueFull)));
    disk.resume();
    assert!(answered.iter().take(taken).all(|answer| answer.is_durable));
    keeper.append(7, vec![1]).unwrap();
    assert_eq!(answered.recv(), Ok(WriteCompletion { token: 7, is_durable: true }));
}

#[test]
fn the_bytes_that_wait_are_bounded() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 64);
    disk.suspend();
    let taken = (0..64).filter(|token| keeper.append(*token, vec![1; MAX_RECORD_LENGTH]).is_ok()).count();
    assert_eq!(taken as u64, MAX_QUEUED_BYTES / MAX_RECORD_LENGTH as u64);
    disk.resume();
    assert_eq!(answered.iter().take(taken).filter(|answer| answer.is_durable).count(), taken);
    keeper.append(9, vec![1]).unwrap();
    assert_eq!(answered.recv(), Ok(WriteCompletion { token: 9, is_durable: true }));
}

#[test]
fn a_rewrite_waits_for_its_turn() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.suspend();
    keeper.append(1, vec![1]).unwrap();
    keeper.rewrite(2, vec![vec![2], vec![3]]).unwrap();
    keeper.append(3, vec![4]).unwrap();
    disk.resume();
    assert_eq!(answered.iter().take(3).collect::<Vec<_>>(), done(1..4, true));
    assert_eq!(keeper.length(), disk.contents("state.2").unwrap().len() as u64);
    assert_eq!(keeper.last_error_code(), 0);
    keeper.close();
    assert_eq!(found(&disk), [vec![2], vec![3], vec![4]]);
}

#[test]
fn a_failed_sync_fails_all_that_it_was_for() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.suspend();
    disk.fail_next_sync(&mut Pcg32::new(1, 1));
    for token in 0..3 {
        keeper.append(token, vec![1]).unwrap();
    }
    keeper.rewrite(3, vec![]).unwrap();
    keeper.append(4, vec![5]).unwrap();
    disk.resume();
    let answers: Vec<WriteCompletion> = answered.iter().take(5).collect();
    assert!(answers.iter().map(|answer| answer.token).eq(0..5));
    assert_eq!(
        answers.iter().map(|answer| answer.is_durable).collect::<Vec<_>>(),
        [false, false, false, true, true]
    );
    assert_eq!(keeper.last_error_code(), 703);
    keeper.close();
    assert_eq!(found(&disk), [vec![5]]);
}

#[test]
fn a_full_disk_fails_one_and_takes_the_next() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.set_free_space(Some(60));
    for (token, size) in [(0, 10), (1, 500), (2, 1)] {
        keeper.append(token, vec![9; size]).unwrap();
        assert_eq!(answered.recv(), Ok(WriteCompletion { token, is_durable: token == 0 }));
    }
    assert_eq!(keeper.last_error_code(), 702);
    disk.set_free_space(None);
    keeper.append(3, vec![3]).unwrap();
    assert_eq!(answered.recv(), Ok(WriteCompletion { token: 3, is_durable: true }));
    keeper.close();
    assert_eq!(found(&disk), [vec![9; 10], vec![3]]);
}

#[test]
fn dropping_it_still_does_what_is_queued() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.suspend();
    for token in 0..9 {
        keeper.append(token, vec![1]).unwrap();
    }
    drop(keeper);
    disk.resume();
    assert_eq!(answered.iter().collect::<Vec<_>>(), done(0..9, true));
}
