//! The disks of machines: stalls, lack of space, and writes that are reported as failed although they reach the disk.

use mosshead_consensus::Input;
use mosshead_time::{Duration, Instant};
use mosshead_virtual_fleet::{Disk, DiskWrite, millis};

use super::{Event, Simulation};

/// The shortest time of a write.
const MIN_WRITE_TIME: Duration = millis(2);
/// The default bound of the random time that is added to the shortest write time.
pub(crate) const DEFAULT_WRITE_TIME_VARIATION: Duration = millis(4);
/// The interval at which a stalled disk is checked.
const STALL_CHECK_INTERVAL: Duration = millis(20);

/// A disk that may stall, be full, or report writes as failed although they have reached it.
#[derive(Default)]
pub(crate) struct FaultyDisk {
    pub(crate) log: Disk,
    pub(crate) stalled_until: Instant,
    pub(crate) is_full: bool,
    /// The number of next writes that reach the disk and are reported as failed.
    pub(crate) false_failure_count: usize,
    is_busy: bool,
}

impl FaultyDisk {
    /// Drops all records but the first one, which identifies the disk.
    pub(crate) fn wipe_after_identity(&mut self) {
        self.log.truncate(1);
    }

    /// Replaces the disk by an empty one without faults.
    pub(crate) fn wipe(&mut self) {
        self.log.wipe();
        self.stalled_until = Instant::ORIGIN;
        self.is_full = false;
    }

    /// Ends the process: only the first `stored` of the writes in flight have reached the disk, or none if it is full.
    pub(super) fn lose_unsynced(&mut self, stored: usize) {
        self.log.lose_unsynced(if self.is_full { 0 } else { stored });
    }
}

impl Simulation {
    pub(super) fn submit_disk_write(
        &mut self,
        machine: usize,
        token: u64,
        replaces_log: bool,
        record: Vec<u8>,
    ) {
        self.written_bytes += record.len() as u64;
        self.machines[machine].disk.log.submit(DiskWrite { token, replaces_log, record });
        self.start_disk_write(machine);
    }

    fn start_disk_write(&mut self, machine: usize) {
        let bytes_per_ms = self.bandwidth.map_or(u64::MAX, |bandwidth| bandwidth.disk_bytes_per_ms);
        let first = self.machines[machine].disk.log.first_in_flight();
        let bytes = first.map_or(0, |write| write.record.len() as u64);
        let write_time = MIN_WRITE_TIME
            + self.random_duration_below(self.write_time_variation)
            + millis(bytes / bytes_per_ms);
        let now = self.now();
        let disk = &mut self.machines[machine].disk;
        if !disk.is_busy && disk.log.in_flight_count() > 0 {
            disk.is_busy = true;
            let stall = (disk.stalled_until - now).min(STALL_CHECK_INTERVAL);
            self.after(stall + write_time, Event::DiskWrite { machine });
        }
    }

    pub(super) fn finish_disk_write(&mut self, machine: usize) {
        let is_written_despite_failure = self.random.is_one_in(8);
        let now = self.now();
        let disk = &mut self.machines[machine].disk;
        disk.is_busy = false;
        if disk.stalled_until > now {
            return self.start_disk_write(machine);
        }
        let Some(DiskWrite { token, replaces_log, record }) = disk.log.take_first() else { return };
        let is_written_despite_failure = is_written_despite_failure || disk.false_failure_count > 0;
        let fails = disk.is_full || disk.false_failure_count > 0;
        disk.false_failure_count = disk.false_failure_count.saturating_sub(1);
        if !fails || is_written_despite_failure && !replaces_log {
            disk.log.store(replaces_log, record);
        }
        self.start_disk_write(machine);
        self.step(machine, if fails { Input::WriteFailed { token } } else { Input::Written { token } });
    }
}
