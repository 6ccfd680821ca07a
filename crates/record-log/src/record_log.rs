use std::io;
use std::path::Path;

use crate::format::{self, LogEnd, Scan};
use crate::{
    Directory, Disk, DiskFile, FRAME_LENGTH, HEADER_LENGTH, LogError, MAX_FILE_LENGTH, MAX_RECORD_LENGTH,
};

/// Records in order, kept over the losses of a disk.
pub trait DurableLog {
    /// Adds a record. It counts as kept only after a [`DurableLog::sync`] that succeeded. After a fault it may still be
    /// found when the store is opened again, until a later sync succeeds.
    fn append(&mut self, record: &[u8]) -> Result<(), LogError>;
    /// Makes the records so far last. After a fault those added since the last good sync are no longer in the store:
    /// whoever wants them adds them again.
    fn sync(&mut self) -> Result<(), LogError>;
    /// Puts these records in place of all others and makes them last; all or none of it happens. After a fault the
    /// store holds what it held, but when it is opened again with no good sync in between, either may be found.
    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError>;
    /// The bytes taken by the records so far.
    fn length(&self) -> u64;
}

/// The store in a file of a [`Disk`]: `state.N`, the newest complete N wins.
#[derive(Debug)]
pub struct RecordLog<D: Disk = Directory> {
    disk: D,
    file: D::File,
    generation: u64,
    next_generation: u64,
    /// The end of the records that are in the file.
    good: LogEnd,
    /// The end of those that a sync has covered.
    synced: LogEnd,
    life: u64,
    /// What was found at the opening is known to last.
    kept: bool,
    /// Something may stand behind the good records.
    torn: bool,
    /// Something in the file was changed since the last good sync.
    unsynced: bool,
    /// Generations that a failed rewrite may have left under their names.
    ghosts: Vec<u64>,
    discarded_bytes: u64,
    buffer: Vec<u8>,
}

const BUFFER: usize = 256 << 10;
/// Generations are below it; far above what can be counted to.
const LAST: u64 = 1 << 63;

impl RecordLog<Directory> {
    /// Opens the store in a folder, and gives the records found; see [`RecordLog::is_durable`].
    pub fn open(folder: &Path) -> Result<(RecordLog, Vec<Vec<u8>>), LogError> {
        RecordLog::open_on_disk(Directory::new(folder).map_err(LogError::Directory)?)
    }
}

impl<D: Disk> RecordLog<D> {
    /// Opens the store on a disk, and gives the records found; see [`RecordLog::is_durable`].
    pub fn open_on_disk(mut disk: D) -> Result<(RecordLog<D>, Vec<Vec<u8>>), LogError> {
        let names = disk.names().map_err(LogError::Read)?;
        let mut generations: Vec<u64> = names.iter().filter_map(|name| generation_of(name)).collect();
        generations.sort_unstable();
        let next = names.iter().filter_map(|name| number_of(name)).max().unwrap_or(0).saturating_add(1);
        if next >= LAST {
            return Err(LogError::Directory(io::Error::from(io::ErrorKind::InvalidInput)));
        }
        let Some((generation, file, found, length)) = newest(&mut disk, &generations)? else {
            let (file, mark) = publish(&mut disk, next, 1, &[]).map_err(|(fault, _)| fault)?;
            return Ok((RecordLog::with(disk, file, next, mark, 1), Vec::new()));
        };
        let Scan { records, mark, .. } = found;
        let mut store = RecordLog::with(disk, file, generation, mark, mark.life.saturating_add(1));
        store.next_generation = next;
        store.discarded_bytes = length.saturating_sub(mark.offset);
        store.kept = false;
        // A disk that refuses writes can still be read from.
        if store.replace(&records).is_ok() {
            for name in names.iter().filter(|name| number_of(name).is_some()) {
                let _ = store.disk.remove(name);
            }
        }
        Ok((store, records))
    }

    fn with(disk: D, file: D::File, generation: u64, mark: LogEnd, life: u64) -> RecordLog<D> {
        RecordLog {
            disk,
            file,
            generation,
            next_generation: generation.saturating_add(1),
            good: mark,
            synced: mark,
            life,
            kept: true,
            torn: false,
            unsynced: false,
            ghosts: Vec::new(),
            discarded_bytes: 0,
            buffer: Vec::new(),
        }
    }

    /// Whether the records that were found at the opening are known to last. If not, because the disk refused, they
    /// do after the next good sync, which may be called at any time.
    pub fn is_durable(&self) -> bool {
        self.kept
    }

    /// The bytes behind the last good record that were discarded at the opening.
    pub fn discarded_bytes(&self) -> u64 {
        self.discarded_bytes
    }

    /// Danger: what an earlier process left may be in the caches only, and if a sync has failed there, no later one
    /// covers it. So this process writes all of it again, and never adds to a file that it has not begun.
    fn keep(&mut self) -> Result<(), LogError> {
        if self.kept {
            return Ok(());
        }
        let bytes = self.file.read(self.good.offset).map_err(LogError::Read)?;
        match format::scan(&bytes, self.generation) {
            Some(found) if found.mark == self.good => self.replace(&found.records),
            _ => Err(LogError::Read(io::Error::from(io::ErrorKind::InvalidData))),
        }
    }

    /// Cuts off what stands behind the records.
    fn mend(&mut self) -> Result<(), LogError> {
        if self.torn {
            self.unsynced = true;
            self.file.set_length(self.good.offset).map_err(LogError::Write)?;
            self.torn = false;
        }
        Ok(())
    }

    fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        let generation = self.next_generation;
        self.next_generation = generation.saturating_add(1);
        match publish(&mut self.disk, generation, self.life, records) {
            Ok((file, mark)) => {
                let before = std::mem::replace(&mut self.generation, generation);
                self.file = file;
                self.good = mark;
                self.synced = mark;
                self.kept = true;
                self.torn = false;
                self.unsynced = false;
                // Those that stay are older, so they never win.
                for old in self.ghosts.drain(..).chain([before]) {
                    let _ = self.disk.remove(&name_of(old));
                }
                Ok(())
            }
            Err((fault, named)) => {
                if named {
                    self.ghosts.push(generation);
                    let _ = self.lay_ghosts();
                }
                Err(fault)
            }
        }
    }

    /// Something of this life may stand behind `mark`: later records get a higher one.
    fn fall_back(&mut self, mark: LogEnd) {
        self.good = mark;
        self.life = self.life.saturating_add(1);
        self.torn = true;
        // At once, so that a process that starts after this one was killed doesn't find it either.
        let _ = self.mend();
    }

    /// Removes, for good, what failed rewrites left.
    fn lay_ghosts(&mut self) -> Result<(), LogError> {
        if self.ghosts.is_empty() {
            return Ok(());
        }
        for ghost in &self.ghosts {
            for name in [name_of(*ghost), new_name_of(*ghost)] {
                match self.disk.remove(&name) {
                    Err(cause) if cause.kind() != io::ErrorKind::NotFound => {
                        return Err(LogError::Directory(cause));
                    }
                    _ => {}
                }
            }
        }
        self.disk.sync().map_err(LogError::Sync)?;
        self.ghosts.clear();
        Ok(())
    }
}

impl<D: Disk> DurableLog for RecordLog<D> {
    fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        let length = checked_length(record)?;
        let end = self.good.offset.saturating_add((FRAME_LENGTH + record.len()) as u64);
        if end > MAX_FILE_LENGTH {
            return Err(LogError::TooLong(end));
        }
        self.keep()?;
        self.mend()?;
        self.buffer.clear();
        let mark = format::put_record(&self.good, self.life, length, record, &mut self.buffer);
        self.unsynced = true;
        let written = self.file.write(self.good.offset, &self.buffer);
        if self.buffer.capacity() > BUFFER {
            self.buffer = Vec::new();
        }
        match written {
            Ok(()) => {
                self.good = mark;
                Ok(())
            }
            Err(cause) => {
                self.fall_back(self.good);
                Err(LogError::Write(cause))
            }
        }
    }

    fn sync(&mut self) -> Result<(), LogError> {
        self.keep()?;
        let _ = self.mend();
        // Danger: while a newer generation may come back, what is written to this one may be lost.
        let mut result = self.lay_ghosts();
        if result.is_ok() && self.unsynced {
            result = self.file.sync().map_err(LogError::Sync);
        }
        match result {
            Ok(()) => {
                self.synced = self.good;
                self.unsynced = false;
                Ok(())
            }
            Err(fault) => {
                self.fall_back(self.synced);
                Err(fault)
            }
        }
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        self.replace(records)
    }

    fn length(&self) -> u64 {
        self.good.offset
    }
}

type Found<D> = (u64, <D as Disk>::File, Scan, u64);

/// The newest complete generation; if there is none, the newest with a header.
fn newest<D: Disk>(disk: &mut D, generations: &[u64]) -> Result<Option<Found<D>>, LogError> {
    let mut partial = None;
    for generation in generations.iter().rev() {
        // Danger: a file that can't be read now may be the newest, so an older one must not stand in for it.
        let mut file = disk.open(&name_of(*generation)).map_err(LogError::Read)?;
        let bytes = file.read(MAX_FILE_LENGTH.saturating_add(1)).map_err(LogError::Read)?;
        let Some(found) = format::scan(&bytes, *generation) else {
            continue;
        };
        let length = bytes.len() as u64;
        if found.complete {
            return Ok(Some((*generation, file, found, length)));
        }
        partial = partial.or(Some((*generation, file, found, length)));
    }
    Ok(partial)
}

/// Writes a generation that lasts. The fault comes with whether it may be there under its name.
fn publish<D: Disk>(
    disk: &mut D,
    generation: u64,
    life: u64,
    records: &[Vec<u8>],
) -> Result<(D::File, LogEnd), (LogError, bool)> {
    let new_name = new_name_of(generation);
    let written = write_new(disk, &new_name, generation, life, records);
    let (file, mark) = written.map_err(|fault| {
        let _ = disk.remove(&new_name);
        (fault, false)
    })?;
    disk.rename(&new_name, &name_of(generation)).map_err(|cause| (LogError::Directory(cause), true))?;
    disk.sync().map_err(|cause| (LogError::Sync(cause), true))?;
    Ok((file, mark))
}

fn write_new<D: Disk>(
    disk: &mut D,
    name: &str,
    generation: u64,
    life: u64,
    records: &[Vec<u8>],
) -> Result<(D::File, LogEnd), LogError> {
    let total = records.iter().fold(HEADER_LENGTH as u64, |total, record| {
        total.saturating_add(FRAME_LENGTH as u64).saturating_add(record.len() as u64)
    });
    let base = u32::try_from(records.len()).map_err(|_| LogError::TooLong(total))?;
    if total > MAX_FILE_LENGTH {
        return Err(LogError::TooLong(total));
    }
    let mut file = disk.create(name).map_err(LogError::Directory)?;
    let mut buffer = Vec::new();
    let mut written = 0;
    let mut mark = format::put_header(generation, base, &mut buffer);
    for record in records {
        let length = checked_length(record)?;
        mark = format::put_record(&mark, life, length, record, &mut buffer);
        if buffer.len() >= BUFFER {
            file.write(written, &buffer).map_err(LogError::Write)?;
            written = mark.offset;
            buffer.clear();
        }
    }
    if !buffer.is_empty() {
        file.write(written, &buffer).map_err(LogError::Write)?;
    }
    file.sync().map_err(LogError::Sync)?;
    Ok((file, mark))
}

fn checked_length(record: &[u8]) -> Result<u32, LogError> {
    let length = record.len();
    u32::try_from(length)
        .ok()
        .filter(|_| length <= MAX_RECORD_LENGTH)
        .ok_or_else(|| LogError::TooLong(u64::try_from(length).unwrap_or(u64::MAX)))
}

fn name_of(generation: u64) -> String {
    format!("state.{generation}")
}

fn new_name_of(generation: u64) -> String {
    format!("state.{generation}.new")
}

/// The generation that a name stands for.
fn generation_of(name: &str) -> Option<u64> {
    let number = name.strip_prefix("state.")?.parse::<u64>().ok()?;
    (number < LAST && name == name_of(number)).then_some(number)
}

/// The same, also of one that has not got its name yet.
fn number_of(name: &str) -> Option<u64> {
    generation_of(name.strip_suffix(".new").unwrap_or(name))
}
