//! Opens a log: finds the newest complete generation, and writes its records again.

use std::path::Path;

use super::RecordLog;
use crate::directory::Directory;
use crate::disk::Disk;
use crate::error::LogError;
use crate::format::Scan;
use crate::generation::{self, FoundGeneration, NewGeneration};
use crate::generation_files::GenerationFiles;
use crate::log_file::LogFile;

/// The incarnation that writes the first records of a new log.
const FIRST_INCARNATION: u64 = 1;

/// An opened log, with the records that were found in it.
#[derive(Debug)]
pub struct OpenedLog<D: Disk = Directory> {
    /// The log.
    pub log: RecordLog<D>,
    /// The records found, in order; see [`RecordLog::is_durable`].
    pub records: Vec<Vec<u8>>,
    /// The number of bytes that were discarded after the last valid record.
    pub discarded_bytes: u64,
}

impl RecordLog<Directory> {
    /// Opens the log in a directory.
    ///
    /// # Errors
    ///
    /// The directory or a file in it can't be read, or a new log can't be created.
    pub fn open(path: &Path) -> Result<OpenedLog, LogError> {
        RecordLog::open_on_disk(Directory::new(path).map_err(LogError::Directory)?)
    }
}

impl<D: Disk> RecordLog<D> {
    /// Opens the log on a disk.
    ///
    /// # Errors
    ///
    /// The disk can't be read, or a new log can't be created. It is not an error if a disk can be read but
    /// refuses writes.
    pub fn open_on_disk(mut disk: D) -> Result<OpenedLog<D>, LogError> {
        let names = disk.file_names().map_err(LogError::Read)?;
        let next_generation = generation::first_unused(&names)?;
        let Some(found) = generation::find_newest(&mut disk, &names)? else {
            return RecordLog::create(disk, next_generation);
        };
        let FoundGeneration { generation, file, scan: Scan { records, end, .. }, file_length } = found;
        let mut log = RecordLog {
            generations: GenerationFiles::new(disk, generation, next_generation),
            file: LogFile::new(file, end, end.incarnation.saturating_add(1)),
            is_durable: false,
        };
        // A disk that refuses writes can still be read from.
        if log.replace_file(&records).is_ok() {
            log.generations.remove_named(&names);
        }
        Ok(OpenedLog { log, records, discarded_bytes: file_length.saturating_sub(end.offset) })
    }

    fn create(mut disk: D, generation: u64) -> Result<OpenedLog<D>, LogError> {
        let created = generation::publish(&mut disk, generation, FIRST_INCARNATION, &[]);
        let NewGeneration { file, end, .. } = created.map_err(|error| error.cause)?;
        let log = RecordLog {
            generations: GenerationFiles::new(disk, generation, generation.saturating_add(1)),
            file: LogFile::new(file, end, FIRST_INCARNATION),
            is_durable: true,
        };
        Ok(OpenedLog { log, records: Vec::new(), discarded_bytes: 0 })
    }
}
