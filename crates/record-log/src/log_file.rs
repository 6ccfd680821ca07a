//! The file of the current generation, with the ends of its valid and of its durable records.

use std::io;

use crate::disk::DiskFile;
use crate::error::LogError;
use crate::format::{self, FRAME_LENGTH, LogEnd, MAX_FILE_LENGTH};
use crate::generation::WRITE_BUFFER_LENGTH;

/// A file that records are appended to.
#[derive(Debug)]
pub(crate) struct LogFile<F: DiskFile> {
    file: F,
    /// The end of the records that are in the file.
    end: LogEnd,
    /// The end of the records that a successful sync has covered. Its offset is never above that of `end`.
    synced_end: LogEnd,
    /// Written into each record. It increases with each opening and whenever records are rolled back, so that
    /// remains of those are not mistaken for successors of newer records.
    incarnation: u64,
    /// True if the file may have bytes after `end`.
    has_torn_tail: bool,
    /// True if the file was changed since the last successful sync.
    has_unsynced_changes: bool,
    /// The encoded record of an append. Its allocation is reused, unless the record was a long one.
    buffer: Vec<u8>,
}

impl<F: DiskFile> LogFile<F> {
    /// Creates a log file whose records up to `end` are synced, with nothing after them. `incarnation` is
    /// written into the records that follow.
    pub(crate) fn new(file: F, end: LogEnd, incarnation: u64) -> LogFile<F> {
        LogFile {
            file,
            end,
            synced_end: end,
            incarnation,
            has_torn_tail: false,
            has_unsynced_changes: false,
            buffer: Vec::new(),
        }
    }

    /// Returns the length of the header and the valid records, in bytes.
    pub(crate) fn length(&self) -> u64 {
        self.end.offset
    }

    /// Returns the incarnation that is written into new records.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Switches to the file of a new generation, which contains synced records up to `end`.
    pub(crate) fn replace(&mut self, file: F, end: LogEnd) {
        self.file = file;
        self.end = end;
        self.synced_end = end;
        self.has_torn_tail = false;
        self.has_unsynced_changes = false;
    }

    /// Reads the valid records of the file, which belongs to `generation`.
    ///
    /// # Errors
    ///
    /// [`LogError::Read`] if the file can't be read, or no longer contains these records.
    pub(crate) fn read_records(&mut self, generation: u64) -> Result<Vec<Vec<u8>>, LogError> {
        let bytes = self.file.read(self.end.offset).map_err(LogError::Read)?;
        match format::scan(&bytes, generation) {
            Some(scan) if scan.end == self.end => Ok(scan.records),
            _ => Err(LogError::Read(io::Error::from(io::ErrorKind::InvalidData))),
        }
    }

    /// Returns the length of a record to append, as it is written in its frame.
    ///
    /// # Errors
    ///
    /// [`LogError::TooLong`] if the record, or the file with it, would be too long.
    pub(crate) fn record_length(&self, record: &[u8]) -> Result<u32, LogError> {
        let length = format::record_length(record)?;
        let new_length = self.end.offset.saturating_add((FRAME_LENGTH + record.len()) as u64);
        if new_length > MAX_FILE_LENGTH {
            return Err(LogError::TooLong(new_length));
        }
        Ok(length)
    }

    /// Appends a record with the given [`LogFile::record_length`].
    ///
    /// # Errors
    ///
    /// The record is not in the log.
    pub(crate) fn append(&mut self, record: &[u8], length: u32) -> Result<(), LogError> {
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

    /// Makes all records durable, if the file was changed since the last sync.
    ///
    /// # Errors
    ///
    /// The sync failed. The caller has to roll back to the synced records.
    pub(crate) fn sync(&mut self) -> Result<(), LogError> {
        if self.has_unsynced_changes {
            self.file.sync().map_err(LogError::Sync)?;
        }
        self.synced_end = self.end;
        self.has_unsynced_changes = false;
        Ok(())
    }

    /// Drops the records that no successful sync has covered.
    pub(crate) fn roll_back_to_synced(&mut self) {
        self.roll_back_to(self.synced_end);
    }

    /// Truncates the file to `end` if there may be bytes after it. If it fails, each append and sync tries
    /// again.
    pub(crate) fn truncate_torn_tail(&mut self) -> Result<(), LogError> {
        if self.has_torn_tail {
            self.has_unsynced_changes = true;
            self.file.set_length(self.end.offset).map_err(LogError::Write)?;
            self.has_torn_tail = false;
        }
        Ok(())
    }

    /// Drops the records after `end`. They may remain in the file, so later records get a higher incarnation.
    fn roll_back_to(&mut self, end: LogEnd) {
        self.end = end;
        self.incarnation = self.incarnation.saturating_add(1);
        self.has_torn_tail = true;
        // Truncates at once, so that a process that starts after this one was killed does not find the
        // dropped records either.
        let _ = self.truncate_torn_tail();
    }
}
