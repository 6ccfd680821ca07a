//! The thread of a store: order, grouping, bounds, a disk that hangs.

use std::sync::mpsc::{Receiver, channel};

use mosshead_record_log::{Done, Fault, Keeper, MAX_GROUP, MAX_QUEUED, MAX_RECORD, MemoryDisk, RecordLog};
use rand_pcg::Pcg32;

fn start(disk: &MemoryDisk, room: usize) -> (Keeper, Receiver<Done>) {
    let (store, _) = RecordLog::open_on(disk.clone()).unwrap();
    let (answers, answered) = channel();
    let keeper = Keeper::start(store, room, move |done| {
        let _ = answers.send(done);
    });
    (keeper.unwrap(), answered)
}

fn found(disk: &MemoryDisk) -> Vec<Vec<u8>> {
    RecordLog::open_on(disk.clone()).unwrap().1
}

fn done(tokens: impl IntoIterator<Item = u64>, ok: bool) -> Vec<Done> {
    tokens.into_iter().map(|token| Done { token, ok }).collect()
}

#[test]
fn answers_come_in_order_and_after_the_sync() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 64);
    for token in 0..50 {
        keeper.append(token, vec![token as u8; 5]).unwrap();
    }
    let answers: Vec<Done> = answered.iter().take(50).collect();
    assert_eq!(answers, done(0..50, true));
    disk.power_loss(&mut Pcg32::new(1, 1));
    drop(keeper);
    assert_eq!(found(&disk), (0..50).map(|token| vec![token; 5]).collect::<Vec<_>>());
}

#[test]
fn what_waits_for_a_disk_that_hangs_shares_one_sync() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, MAX_GROUP);
    let before = disk.syncs();
    disk.hold();
    for token in 0..MAX_GROUP as u64 {
        keeper.append(token, vec![1]).unwrap();
    }
    assert!(answered.try_recv().is_err());
    disk.release();
    assert_eq!(answered.iter().take(MAX_GROUP).collect::<Vec<_>>(), done(0..MAX_GROUP as u64, true));
    assert_eq!(disk.syncs() - before, 1);
    keeper.close();
}

#[test]
fn the_queue_is_bounded() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 4);
    disk.hold();
    let taken = (0..100).filter(|token| keeper.append(*token, vec![1]).is_ok()).count();
    // One may be in the hands of the thread.
    assert!(taken == 4 || taken == 5, "{taken}");
    assert!(matches!(keeper.append(1, vec![1]), Err(Fault::Busy)));
    assert!(matches!(keeper.rewrite(1, vec![]), Err(Fault::Busy)));
    disk.release();
    assert!(answered.iter().take(taken).all(|answer| answer.ok));
    keeper.append(7, vec![1]).unwrap();
    assert_eq!(answered.recv(), Ok(Done { token: 7, ok: true }));
}

#[test]
fn the_bytes_that_wait_are_bounded() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 64);
    disk.hold();
    let taken = (0..64).filter(|token| keeper.append(*token, vec![1; MAX_RECORD]).is_ok()).count();
    assert_eq!(taken as u64, MAX_QUEUED / MAX_RECORD as u64);
    disk.release();
    assert_eq!(answered.iter().take(taken).filter(|answer| answer.ok).count(), taken);
    keeper.append(9, vec![1]).unwrap();
    assert_eq!(answered.recv(), Ok(Done { token: 9, ok: true }));
}

#[test]
fn a_rewrite_waits_for_its_turn() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.hold();
    keeper.append(1, vec![1]).unwrap();
    keeper.rewrite(2, vec![vec![2], vec![3]]).unwrap();
    keeper.append(3, vec![4]).unwrap();
    disk.release();
    assert_eq!(answered.iter().take(3).collect::<Vec<_>>(), done(1..4, true));
    assert_eq!(keeper.length(), disk.contents("state.2").unwrap().len() as u64);
    assert_eq!(keeper.last_fault(), 0);
    keeper.close();
    assert_eq!(found(&disk), [vec![2], vec![3], vec![4]]);
}

#[test]
fn a_failed_sync_fails_all_that_it_was_for() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.hold();
    disk.fail_sync(&mut Pcg32::new(1, 1));
    for token in 0..3 {
        keeper.append(token, vec![1]).unwrap();
    }
    keeper.rewrite(3, vec![]).unwrap();
    keeper.append(4, vec![5]).unwrap();
    disk.release();
    let answers: Vec<Done> = answered.iter().take(5).collect();
    assert!(answers.iter().map(|answer| answer.token).eq(0..5));
    assert_eq!(answers.iter().map(|answer| answer.ok).collect::<Vec<_>>(), [false, false, false, true, true]);
    assert_eq!(keeper.last_fault(), 703);
    keeper.close();
    assert_eq!(found(&disk), [vec![5]]);
}

#[test]
fn a_full_disk_fails_one_and_takes_the_next() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.set_room(Some(60));
    for (token, size) in [(0, 10), (1, 500), (2, 1)] {
        keeper.append(token, vec![9; size]).unwrap();
        assert_eq!(answered.recv(), Ok(Done { token, ok: token == 0 }));
    }
    assert_eq!(keeper.last_fault(), 702);
    disk.set_room(None);
    keeper.append(3, vec![3]).unwrap();
    assert_eq!(answered.recv(), Ok(Done { token: 3, ok: true }));
    keeper.close();
    assert_eq!(found(&disk), [vec![9; 10], vec![3]]);
}

#[test]
fn dropping_it_still_does_what_is_queued() {
    let disk = MemoryDisk::new();
    let (keeper, answered) = start(&disk, 16);
    disk.hold();
    for token in 0..9 {
        keeper.append(token, vec![1]).unwrap();
    }
    drop(keeper);
    disk.release();
    assert_eq!(answered.iter().collect::<Vec<_>>(), done(0..9, true));
}
