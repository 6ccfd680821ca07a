//! A log on a disk, which is rewritten as a new generation of its file.

mod opening;

use crate::directory::Directory;
use crate::disk::Disk;
use crate::durable_log::DurableLog;
use crate::error::LogError;
use crate::generation::NewGeneration;
use crate::generation_files::GenerationFiles;
use crate::log_file::LogFile;

pub use opening::OpenedLog;

/// A [`DurableLog`] in a file `state.N` of a [`Disk`], where the newest complete generation N is current.
///
/// Data of an earlier process may be only in the page cache of the operating system, and if a sync of that
/// process has failed, no later sync covers it. Therefore opening a log writes all its records again, and a
/// process never appends to a file that it has not created.
#[derive(Debug)]
pub struct RecordLog<D: Disk = Directory> {
    generations: GenerationFiles<D>,
    /// The file of the current generation.
    file: LogFile<D::File>,
    /// True if the records that were found on opening are durable.
    is_durable: bool,
}

impl<D: Disk> RecordLog<D> {
    /// Returns true if the records that were found on opening are durable. If not, because the disk refused
    /// writes, they become durable with the next successful [`DurableLog::sync`], which may be called at any
    /// time.
    pub fn is_durable(&self) -> bool {
        self.is_durable
    }

    /// Writes the records that were found on opening into a file of this process, if that has not been done
    /// yet.
    fn ensure_durable(&mut self) -> Result<(), LogError> {
        if self.is_durable {
            return Ok(());
        }
        let records = self.file.read_records(self.generations.current())?;
        self.replace_file(&records)
    }

    /// Writes a new generation with these records and switches to it.
    fn replace_file(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        let published = self.generations.publish(self.file.incarnation(), records)?;
        let NewGeneration { generation, file, end } = published;
        self.file.replace(file, end);
        self.is_durable = true;
        self.generations.adopt(generation);
        Ok(())
    }
}

impl<D: Disk> DurableLog for RecordLog<D> {
    fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        let length = self.file.record_length(record)?;
        self.ensure_durable()?;
        self.file.append(record, length)
    }

    fn sync(&mut self) -> Result<(), LogError> {
        self.ensure_durable()?;
        let truncated = self.file.truncate_torn_tail();
        // While the file of a failed rewrite may reappear after a crash, records that are written to this
        // older generation may be lost.
        let synced = self.generations.remove_failed().and_then(|()| self.file.sync());
        if synced.is_err() {
            self.file.roll_back_to_synced();
        }
        // If only the truncation has failed, everything that the caller knows is durable. An error is
        // returned nevertheless, since records that were rolled back may be found again after a restart.
        synced.and(truncated)
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        self.replace_file(records)
    }

    fn length(&self) -> u64 {
        self.file.length()
    }
}
