//! The disks of machines: stalls, lack of space, and writes that are told to have failed.

use std::collections::VecDeque;

use mosshead_consensus::Input;

use super::{Event, World};

pub(crate) struct Disk {
    pub(crate) records: Vec<Vec<u8>>,
    /// Token, whether the log is replaced, record.
    pub(super) queue: VecDeque<(u64, bool, Vec<u8>)>,
    pub(crate) stalled_until: u64,
    pub(crate) full: bool,
    /// So many writes are done and told to have failed.
    pub(crate) failed_yet_written: usize,
    pub(super) busy: bool,
}

impl World {
    pub(super) fn enqueue(&mut self, machine: usize, write: (u64, bool, Vec<u8>)) {
        self.written_bytes += write.2.len() as u64;
        self.machines[machine].disk.queue.push_back(write);
        self.start_disk_write(machine);
    }

    pub(super) fn start_disk_write(&mut self, machine: usize) {
        let disk_rate = self.bandwidth.map_or(u64::MAX, |b| b.disk);
        let size = self.machines[machine].disk.queue.front().map_or(0, |(_, _, record)| record.len() as u64);
        let span = 2 + self.below(self.disk_span) + size / disk_rate;
        let disk = &mut self.machines[machine].disk;
        if !disk.busy && !disk.queue.is_empty() {
            disk.busy = true;
            let span = disk.stalled_until.saturating_sub(self.now).min(20) + span;
            self.after(span, Event::Disk { machine });
        }
    }

    pub(super) fn finish_disk_write(&mut self, machine: usize) {
        let astray = self.below(8) == 0;
        let disk = &mut self.machines[machine].disk;
        disk.busy = false;
        if disk.stalled_until > self.now {
            return self.start_disk_write(machine);
        }
        let Some((token, rewrite, record)) = disk.queue.pop_front() else { return };
        let astray = astray || disk.failed_yet_written > 0;
        let full = disk.full || disk.failed_yet_written > 0;
        disk.failed_yet_written = disk.failed_yet_written.saturating_sub(1);
        if !full || astray && !rewrite {
            disk.put(rewrite, record);
        }
        self.start_disk_write(machine);
        self.step(machine, if full { Input::WriteFailed { token } } else { Input::Written { token } });
    }
}

impl Disk {
    pub(super) fn put(&mut self, rewrite: bool, record: Vec<u8>) {
        if rewrite {
            self.records.clear();
        }
        self.records.push(record);
    }

    /// Keeps what the disk is, and nothing else.
    pub(crate) fn wipe_after_identity(&mut self) {
        self.records.truncate(1);
    }

    pub(crate) fn wipe(&mut self) {
        self.records.clear();
        self.queue.clear();
        self.stalled_until = 0;
        self.full = false;
    }
}
