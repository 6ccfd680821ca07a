//! A log of records on a disk.

use std::io;
use std::path::Path;

use crate::directory::Directory;
use crate::disk::{Disk, DiskFile};
use crate::error::LogError;
use crate::format::{self, FRAME_LENGTH, LogEnd, MAX_FILE_LENGTH, Scan};
use crate::generation::{self, FoundGeneration, GENERATION_LIMIT, PublishError, WRITE_BUFFER_LENGTH};

/// An ordered log whose synced records survive crashes and losses of power.
pub trait DurableLog {
    /// Appends a record. It is durable only after a [`DurableLog::sync`] that succeeded.
    ///
    /// # Errors
    ///
    /// The record is not in the log. Until a later sync succeeds, it may still be found when the log is opened again.
    fn append(&mut self, record: &[u8]) -> Result<(), LogError>;

    /// Makes all records so far durable.
    ///
    /// # Errors
    ///
    /// The records that were appended since the last successful sync are no longer in the log; the caller has to append
    /// them again. Until a later sync succeeds, they may still be found when the log is opened again.
    fn sync(&mut self) -> Result<(), LogError>;

    /// Atomically replaces all records by these, and makes them durable.
    ///
    /// # Errors
    ///
    /// The log holds the same records as before. Until a later sync succeeds, either may be found when it is opened
    /// again.
    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError>;

    /// The length of the log, in bytes.
    fn length(&self) -> u64;
}

/// A [`DurableLog`] in a file `state.N` of a [`Disk`]; the newest complete generation N is valid.
///
/// What an earlier process left may be only in the caches of the operating system, and if a sync has failed there, no
/// later one covers it. So opening a log writes all its records again, and a process never appends to a file that it
/// has not created.
#[derive(Debug)]
pub struct RecordLog<D: Disk = Directory> {
    disk: D,
    file: D::File,
    generation: u64,
    next_generation: u64,
    /// The end of the records that are in the file.
    end: LogEnd,
    /// The end of the records that a successful sync has covered; its offset is at most that of `end`.
    synced_end: LogEnd,
    /// Written into each record. Grows with each opening and whenever records are rolled back, so that what is left of
    /// those is not taken for a successor of newer records.
    incarnation: u64,
    /// Whether the records that were found at the opening are durable.
    is_durable: bool,
    /// Whether the file may have bytes after `end`.
    has_torn_tail: bool,
    /// Whether the file was changed since the last successful sync.
    has_unsynced_changes: bool,
    /// Generations that a failed rewrite may have left under their final names.
    failed_generations: Vec<u64>,
    discarded_bytes: u64,
    buffer: Vec<u8>,
}

impl RecordLog<Directory> {
    /// Opens the log in a directory, and returns it with the records found; see [`RecordLog::is_durable`].
    ///
    /// # Errors
    ///
    /// The directory or a file in it can't be read, or a new log can't be created.
    pub fn open(path: &Path) -> Result<(RecordLog, Vec<Vec<u8>>), LogError> {
        RecordLog::open_on_disk(Directory::new(path).map_err(LogError::Directory)?)
    }
}

impl<D: Disk> RecordLog<D> {
    /// Opens the log on a disk, and returns it with the records found; see [`RecordLog::is_durable`].
    ///
    /// # Errors
    ///
    /// The disk can't be read, or a new log can't be created. A disk that can be read but refuses writes is no error.
    pub fn open_on_disk(mut disk: D) -> Result<(RecordLog<D>, Vec<Vec<u8>>), LogError> {
        let names = disk.file_names().map_err(LogError::Read)?;
        let mut generations: Vec<u64> =
            names.iter().filter_map(|name| generation::parse_file_name(name)).collect();
        generations.sort_unstable();
        let newest = names.iter().filter_map(|name| generation::parse_any_file_name(name)).max();
        let next_generation = newest.unwrap_or(0).saturating_add(1);
        if next_generation >= GENERATION_LIMIT {
            return Err(LogError::Directory(io::Error::from(io::ErrorKind::InvalidInput)));
        }
        let Some(found) = generation::find_newest(&mut disk, &generations)? else {
            let (file, end) =
                generation::publish(&mut disk, next_generation, 1, &[]).map_err(|error| error.cause)?;
            return Ok((RecordLog::new(disk, file, next_generation, end, 1), Vec::new()));
        };
        let FoundGeneration { generation, file, scan: Scan { records, end, .. }, file_length } = found;
        let mut log = RecordLog::new(disk, file, generation, end, end.incarnation.saturating_add(1));
        log.next_generation = next_generation;
        log.discarded_bytes = file_length.saturating_sub(end.offset);
        log.is_durable = false;
        // A disk that refuses writes can still be read from.
        if log.replace_file(&records).is_ok() {
            log.remove_generations(&names);
        }
        Ok((log, records))
    }

    fn new(disk: D, file: D::File, generation: u64, end: LogEnd, incarnation: u64) -> RecordLog<D> {
        RecordLog {
            disk,
            file,
            generation,
            next_generation: generation.saturating_add(1),
            end,
            synced_end: end,
            incarnation,
            is_durable: true,
            has_torn_tail: false,
            has_unsynced_changes: false,
            failed_generations: Vec::new(),
            discarded_bytes: 0,
            buffer: Vec::new(),
        }
    }

    /// Whether the records that were found at the opening are durable. If not, because the disk refused writes, they
    /// are after the next successful [`DurableLog::sync`], which may be called at any time.
    pub fn is_durable(&self) -> bool {
        self.is_durable
    }

    /// The number of bytes after the last valid record that were discarded at the opening.
    pub fn discarded_bytes(&self) -> u64 {
        self.discarded_bytes
    }

    /// Removes the files of all generations among these names; what can't be removed is older and so never valid.
    fn remove_generations(&mut self, names: &[String]) {
        for name in names.iter().filter(|name| generation::parse_any_file_name(name).is_some()) {
            let _ = self.disk.remove(name);
        }
    }

    /// Writes the records that were found at the opening into a file of this process, if that has not been done.
    fn ensure_durable(&mut self) -> Result<(), LogError> {
        if self.is_durable {
            return Ok(());
        }
        let bytes = self.file.read(self.end.offset).map_err(LogError::Read)?;
        match format::scan(&bytes, self.generation) {
            Some(scan) if scan.end == self.end => self.replace_file(&scan.records),
            _ => Err(LogError::Read(io::Error::from(io::ErrorKind::InvalidData))),
        }
    }

    /// Truncates the file to `end` if there may be bytes after it; tried again at each append and sync until it succeeds.
    fn truncate_torn_tail(&mut self) -> Result<(), LogError> {
        if self.has_torn_tail {
            self.has_unsynced_changes = true;
            self.file.set_length(self.end.offset).map_err(LogError::Write)?;
            self.has_torn_tail = false;
        }
        Ok(())
    }

    /// Writes a new generation with these records and goes on with it.
    fn replace_file(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        let generation = self.next_generation;
        self.next_generation = generation.saturating_add(1);
        match generation::publish(&mut self.disk, generation, self.incarnation, records) {
            Ok((file, end)) => {
                self.adopt_generation(generation, file, end);
                Ok(())
            }
            Err(PublishError { cause, may_exist }) => {
                if may_exist {
                    self.failed_generations.push(generation);
                    let _ = self.remove_failed_generations();
                }
                Err(cause)
            }
        }
    }

    fn adopt_generation(&mut self, generation: u64, file: D::File, end: LogEnd) {
        let previous = std::mem::replace(&mut self.generation, generation);
        self.file = file;
        self.end = end;
        self.synced_end = end;
        self.is_durable = true;
        self.has_torn_tail = false;
        self.has_unsynced_changes = false;
        // Older generations that can't be removed are never valid again.
        for older in self.failed_generations.drain(..).chain([previous]) {
            let _ = self.disk.remove(&generation::file_name(older));
        }
    }

    /// Drops the records after `end`; those may remain in the file, so later ones get a higher incarnation.
    fn roll_back_to(&mut self, end: LogEnd) {
        self.end = end;
        self.incarnation = self.incarnation.saturating_add(1);
        self.has_torn_tail = true;
        // Truncated at once, so that a process that starts after this one was killed does not find them either.
        let _ = self.truncate_torn_tail();
    }

    /// Removes what failed rewrites left, and syncs the directory so that it does not come back after a crash.
    fn remove_failed_generations(&mut self) -> Result<(), LogError> {
        if self.failed_generations.is_empty() {
            return Ok(());
        }
        for failed in &self.failed_generations {
            for name in [generation::file_name(*failed), generation::temporary_file_name(*failed)] {
                match self.disk.remove(&name) {
                    Err(cause) if cause.kind() != io::ErrorKind::NotFound => {
                        return Err(LogError::Directory(cause));
                    }
                    _ => {}
                }
            }
        }
        self.disk.sync().map_err(LogError::Sync)?;
        self.failed_generations.clear();
        Ok(())
    }

    fn sync_file(&mut self) -> Result<(), LogError> {
        // While a failed generation may come back after a crash, what is written to this older one may be lost.
        self.remove_failed_generations()?;
        if self.has_unsynced_changes {
            self.file.sync().map_err(LogError::Sync)?;
        }
        Ok(())
    }
}

impl<D: Disk> DurableLog for RecordLog<D> {
    fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        let length = format::record_length(record)?;
        let new_length = self.end.offset.saturating_add((FRAME_LENGTH + record.len()) as u64);
        if new_length > MAX_FILE_LENGTH {
            return Err(LogError::TooLong(new_length));
        }
        self.ensure_durable()?;
        self.truncate_torn_tail()?;
        self.buffer.clear();
        let end = format::encode_record(&self.end, self.incarnation, length, record, &mut self.buffer);
        self.has_unsynced_changes = true;
        let written = self.file.write(self.end.offset, &self.buffer);
        if self.buffer.capacity() > WRITE_BUFFER_LENGTH {
            self.buffer = Vec::new();
        }
        match written {
            Ok(()) => {
                self.end = end;
                Ok(())
            }
            Err(cause) => {
                self.roll_back_to(self.end);
                Err(LogError::Write(cause))
            }
        }
    }

    fn sync(&mut self) -> Result<(), LogError> {
        self.ensure_durable()?;
        let _ = self.truncate_torn_tail();
        match self.sync_file() {
            Ok(()) => {
                self.synced_end = self.end;
                self.has_unsynced_changes = false;
                Ok(())
            }
            Err(error) => {
                self.roll_back_to(self.synced_end);
                Err(error)
            }
        }
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        self.replace_file(records)
    }

    fn length(&self) -> u64 {
        self.end.offset
    }
}
