//! Model test with arbitrary sequences of operations and disk faults: synced records are found in order, and
//! no others appear.

mod memory_disk;

use memory_disk::MemoryDisk;
use mosshead_record_log::{DurableLog, OpenedLog, RecordLog};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand_pcg::Pcg32;

#[derive(Clone, Debug)]
enum Step {
    Append(u8),
    Sync,
    Rewrite(u8),
    Kill,
    PowerLoss(u64),
    FailSync(u64),
    FreeSpace(Option<u8>),
    FailAfter(u8),
    ClearFailure,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 20 {
            0..=6 => Step::Append(u8::arbitrary(g) % 60),
            7..=10 => Step::Sync,
            11 => Step::Rewrite(u8::arbitrary(g) % 6),
            12 => Step::Kill,
            13 | 14 => Step::PowerLoss(u64::arbitrary(g)),
            15 => Step::FailSync(u64::arbitrary(g)),
            16 => Step::FreeSpace(Option::arbitrary(g)),
            17 => Step::FailAfter(u8::arbitrary(g) % 12),
            _ => Step::ClearFailure,
        }
    }
}

/// The records that may be found: any prefix of `records` with at least the first `durable_count`.
#[derive(Clone, Debug, Default)]
struct PossibleRecords {
    records: Vec<Vec<u8>>,
    durable_count: usize,
}

impl PossibleRecords {
    fn matches(&self, found: &[Vec<u8>]) -> bool {
        found.len() >= self.durable_count && self.records.starts_with(found)
    }
}

struct Model {
    disk: MemoryDisk,
    log: Option<RecordLog<MemoryDisk>>,
    expected: PossibleRecords,
    /// The records that failed operations may have left since the last successful sync.
    alternatives: Vec<PossibleRecords>,
    number: u32,
}

impl Model {
    fn new() -> Model {
        let disk = MemoryDisk::new();
        Model { disk, log: None, expected: PossibleRecords::default(), alternatives: Vec::new(), number: 0 }
    }

    /// Returns a new record, different from all earlier ones.
    fn record(&mut self, size: u8) -> Vec<u8> {
        self.number += 1;
        let mut record = self.number.to_le_bytes().to_vec();
        record.resize(4 + usize::from(size), self.number as u8);
        record
    }

    fn open(&mut self) -> Result<(), String> {
        let Ok(OpenedLog { log, records: found, .. }) = RecordLog::open_on_disk(self.disk.clone()) else {
            return Ok(());
        };
        if !self.expected.matches(&found)
            && !self.alternatives.iter().any(|possible| possible.matches(&found))
        {
            return Err(format!("found {found:?}, not of {:?} or {:?}", self.expected, self.alternatives));
        }
        let before = std::mem::replace(
            &mut self.expected,
            PossibleRecords { durable_count: found.len(), records: found },
        );
        // Records that are found on a disk that refuses writes may not be found again.
        if log.is_durable() {
            self.alternatives.clear();
        } else {
            self.alternatives.push(before);
        }
        self.log = Some(log);
        Ok(())
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Kill => self.log = None,
            Step::PowerLoss(seed) => {
                self.log = None;
                self.disk.lose_power(&mut Pcg32::new(*seed, 9));
            }
            Step::FailSync(seed) => self.disk.fail_next_sync(&mut Pcg32::new(*seed, 10)),
            Step::FreeSpace(bytes) => self.disk.set_free_space(bytes.map(u64::from)),
            Step::FailAfter(steps) => self.disk.fail_after_operations(u64::from(*steps)),
            Step::ClearFailure => self.disk.clear_failure(),
            Step::Append(_) | Step::Sync | Step::Rewrite(_) => return self.operate(step),
        }
        Ok(())
    }

    fn operate(&mut self, step: &Step) -> Result<(), String> {
        if self.log.is_none() {
            self.open()?;
        }
        let Some(mut log) = self.log.take() else {
            return Ok(());
        };
        match step {
            Step::Append(size) => self.append(&mut log, *size),
            Step::Rewrite(count) => self.rewrite(&mut log, *count),
            _ => self.sync(&mut log),
        }
        self.log = Some(log);
        Ok(())
    }

    fn append(&mut self, log: &mut RecordLog<MemoryDisk>, size: u8) {
        let was_durable = log.is_durable();
        let record = self.record(size);
        let mut with_record = self.expected.clone();
        with_record.records.push(record.clone());
        let appended = log.append(&record);
        if !was_durable && log.is_durable() {
            self.alternatives.clear();
        }
        match appended {
            Ok(()) => self.expected = with_record,
            Err(_) => self.alternatives.push(with_record),
        }
    }

    fn rewrite(&mut self, log: &mut RecordLog<MemoryDisk>, count: u8) {
        let records: Vec<_> = (0..count).map(|size| self.record(size)).collect();
        let rewritten = PossibleRecords { durable_count: records.len(), records };
        match log.rewrite(&rewritten.records) {
            Ok(()) => {
                self.expected = rewritten;
                self.alternatives.clear();
            }
            Err(_) => self.alternatives.push(rewritten),
        }
    }

    fn sync(&mut self, log: &mut RecordLog<MemoryDisk>) {
        let was_durable = log.is_durable();
        match log.sync() {
            Ok(()) => {
                self.expected.durable_count = self.expected.records.len();
                self.alternatives.clear();
            }
            Err(_) => {
                if !was_durable && log.is_durable() {
                    self.alternatives.clear();
                }
                self.alternatives.push(self.expected.clone());
                self.expected.records.truncate(self.expected.durable_count);
            }
        }
    }
}

fn survives_faults(steps: Vec<Step>) -> Result<bool, String> {
    let mut model = Model::new();
    for step in &steps {
        model.step(step)?;
    }
    // Finally power is lost, and the disk works again.
    model.step(&Step::PowerLoss(steps.len() as u64))?;
    model.disk.clear_failure();
    model.open()?;
    Ok(model.log.is_some_and(|log| log.is_durable()))
}

#[test]
fn synced_records_survive_any_faults() {
    QuickCheck::new()
        .rng(Gen::new(120))
        .tests(4000)
        .quickcheck(survives_faults as fn(Vec<Step>) -> Result<bool, String>);
}
