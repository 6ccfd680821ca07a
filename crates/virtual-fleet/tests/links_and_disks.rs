//! Links that are cut one way, and disks that lose what was not synced.

use mosshead_virtual_fleet::{Disk, DiskWrite, Links};

fn write(token: u64, replaces_log: bool) -> DiskWrite {
    DiskWrite { token, replaces_log, record: vec![token as u8] }
}

#[test]
fn a_one_way_cut_leaves_the_other_direction() {
    let mut links = Links::default();
    links.cut_one_way(&[1, 2], &[2, 3]);
    assert!(links.is_cut(1, 2) && links.is_cut(1, 3) && links.is_cut(2, 3));
    assert!(!links.is_cut(2, 1) && !links.is_cut(3, 1) && !links.is_cut(3, 2) && !links.is_cut(2, 2));
    assert_eq!(links.cut_count(), 3);
}

#[test]
fn a_partition_cuts_both_directions_until_it_is_healed() {
    let mut links = Links::default();
    links.partition(&[1], &[2, 3]);
    links.cut([(2, 3)]);
    assert!(links.is_cut(1, 3) && links.is_cut(3, 1) && links.is_cut(2, 3) && !links.is_cut(3, 2));
    links.heal();
    assert_eq!(links.cut_count(), 0);
}

#[test]
fn a_loss_of_power_keeps_the_first_writes_in_flight() {
    let mut disk = Disk::default();
    disk.store(false, vec![0]);
    (1..=3).for_each(|token| disk.submit(write(token, false)));
    disk.lose_unsynced(2);
    assert_eq!(disk.records(), [[0], [1], [2]]);
    assert_eq!(disk.in_flight_count(), 0);
}

#[test]
fn a_write_is_on_the_disk_only_once_it_is_stored() {
    let mut disk = Disk::default();
    disk.submit(write(1, false));
    disk.submit(write(2, false));
    assert_eq!(disk.first_in_flight(), Some(&write(1, false)));
    assert_eq!(disk.take_first(), Some(write(1, false)));
    assert!(disk.records().is_empty());
    disk.lose_unsynced(0);
    assert!(disk.records().is_empty());
}

#[test]
fn a_rewrite_replaces_the_log() {
    let mut disk = Disk::default();
    (1..=3).for_each(|token| disk.submit(write(token, token == 3)));
    disk.lose_unsynced(3);
    assert_eq!(disk.records(), [[3]]);
    disk.wipe();
    assert!(disk.records().is_empty());
}
