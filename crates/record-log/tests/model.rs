//! Any sequence of what a store is asked and of what befalls its disk: what was synced is there, in order, and
//! nothing is made up.

use mosshead_record_log::{DurableLog, MemoryDisk, RecordLog};
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
    Room(Option<u8>),
    FailAfter(u8),
    Repair,
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
            16 => Step::Room(Option::arbitrary(g)),
            17 => Step::FailAfter(u8::arbitrary(g) % 12),
            _ => Step::Repair,
        }
    }
}

/// Records that may be found: all of them or fewer, but the first `kept`.
#[derive(Clone, Debug, Default)]
struct Line {
    records: Vec<Vec<u8>>,
    kept: usize,
}

impl Line {
    fn admits(&self, found: &[Vec<u8>]) -> bool {
        found.len() >= self.kept && self.records.starts_with(found)
    }
}

struct Model {
    disk: MemoryDisk,
    store: Option<RecordLog<MemoryDisk>>,
    now: Line,
    /// What failed steps may have left since the last good sync.
    others: Vec<Line>,
    number: u32,
}

impl Model {
    fn new() -> Model {
        let disk = MemoryDisk::new();
        Model { disk, store: None, now: Line::default(), others: Vec::new(), number: 0 }
    }

    /// No two records are equal.
    fn record(&mut self, size: u8) -> Vec<u8> {
        self.number += 1;
        let mut record = self.number.to_le_bytes().to_vec();
        record.resize(4 + usize::from(size), self.number as u8);
        record
    }

    fn open(&mut self) -> Result<(), String> {
        let Ok((store, found)) = RecordLog::open_on_disk(self.disk.clone()) else {
            return Ok(());
        };
        if !self.now.admits(&found) && !self.others.iter().any(|line| line.admits(&found)) {
            return Err(format!("found {found:?}, not of {:?} or {:?}", self.now, self.others));
        }
        let before = std::mem::replace(&mut self.now, Line { kept: found.len(), records: found });
        // What is found on a disk that refuses may not be found again.
        if store.is_durable() {
            self.others.clear()
        } else {
            self.others.push(before)
        }
        self.store = Some(store);
        Ok(())
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Kill => self.store = None,
            Step::PowerLoss(seed) => {
                self.store = None;
                self.disk.lose_power(&mut Pcg32::new(*seed, 9));
            }
            Step::FailSync(seed) => self.disk.fail_next_sync(&mut Pcg32::new(*seed, 10)),
            Step::Room(room) => self.disk.set_free_space(room.map(u64::from)),
            Step::FailAfter(steps) => self.disk.fail_after_operations(u64::from(*steps)),
            Step::Repair => self.disk.clear_failure(),
            Step::Append(_) | Step::Sync | Step::Rewrite(_) => return self.ask(step),
        }
        Ok(())
    }

    fn ask(&mut self, step: &Step) -> Result<(), String> {
        if self.store.is_none() {
            self.open()?;
        }
        let Some(mut store) = self.store.take() else {
            return Ok(());
        };
        let was_kept = store.is_durable();
        match step {
            Step::Append(size) => {
                let record = self.record(*size);
                let mut longer = self.now.clone();
                longer.records.push(record.clone());
                let done = store.append(&record);
                if !was_kept && store.is_durable() {
                    self.others.clear();
                }
                match done {
                    Ok(()) => self.now = longer,
                    Err(_) => self.others.push(longer),
                }
            }
            Step::Rewrite(count) => {
                let records: Vec<_> = (0..*count).map(|size| self.record(size)).collect();
                let line = Line { kept: records.len(), records };
                match store.rewrite(&line.records) {
                    Ok(()) => {
                        self.now = line;
                        self.others.clear();
                    }
                    Err(_) => self.others.push(line),
                }
            }
            _ => match store.sync() {
                Ok(()) => {
                    self.now.kept = self.now.records.len();
                    self.others.clear();
                }
                Err(_) => {
                    if !was_kept && store.is_durable() {
                        self.others.clear();
                    }
                    self.others.push(self.now.clone());
                    self.now.records.truncate(self.now.kept);
                }
            },
        }
        self.store = Some(store);
        Ok(())
    }
}

fn holds(steps: Vec<Step>) -> Result<bool, String> {
    let mut model = Model::new();
    for step in &steps {
        model.step(step)?;
    }
    // At last the power goes, and the disk is well again.
    model.step(&Step::PowerLoss(steps.len() as u64))?;
    model.disk.clear_failure();
    model.open()?;
    Ok(model.store.is_some_and(|store| store.is_durable()))
}

#[test]
fn what_was_synced_is_there() {
    QuickCheck::new()
        .rng(Gen::new(120))
        .tests(4000)
        .quickcheck(holds as fn(Vec<Step>) -> Result<bool, String>);
}
