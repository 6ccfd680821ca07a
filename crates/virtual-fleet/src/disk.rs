use std::collections::VecDeque;

/// A write to a log that its disk has not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskWrite {
    /// Names the write to whoever waits for it.
    pub token: u64,
    /// Whether the record replaces the whole log, in place of being appended.
    pub replaces_log: bool,
    /// What is written.
    pub record: Vec<u8>,
}

/// The disk of a simulated process: a log of records, and the writes in flight in the order in which they were handed in.
///
/// When a write ends, and whether it fails, is decided by the simulation.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    records: Vec<Vec<u8>>,
    in_flight: VecDeque<DiskWrite>,
}

impl Disk {
    /// The records that a process finds when it starts.
    pub fn records(&self) -> &[Vec<u8>] {
        &self.records
    }

    /// How many writes are in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// The write in flight that was handed in first.
    pub fn first_in_flight(&self) -> Option<&DiskWrite> {
        self.in_flight.front()
    }

    /// Hands in a write.
    pub fn submit(&mut self, write: DiskWrite) {
        self.in_flight.push_back(write);
    }

    /// Takes the first write out of the writes in flight; it is on the disk only once it is stored.
    pub fn take_first(&mut self) -> Option<DiskWrite> {
        self.in_flight.pop_front()
    }

    /// Stores a record, synced.
    pub fn store(&mut self, replaces_log: bool, record: Vec<u8>) {
        if replaces_log {
            self.records.clear();
        }
        self.records.push(record);
    }

    /// The process ends, or the power is lost: of the writes in flight the first `stored` have reached the disk.
    pub fn lose_unsynced(&mut self, stored: usize) {
        for write in core::mem::take(&mut self.in_flight).into_iter().take(stored) {
            self.store(write.replaces_log, write.record);
        }
    }

    /// Drops all records behind the first ones.
    pub fn truncate(&mut self, record_count: usize) {
        self.records.truncate(record_count);
    }

    /// The disk is lost; an empty one takes its place.
    pub fn wipe(&mut self) {
        self.records.clear();
        self.in_flight.clear();
    }
}
