//! The log on a disk: generations, of which one is current.

mod opening;

use crate::directory::Directory;
use crate::disk::Disk;
use crate::durable_log::DurableLog;
use crate::error::LogError;
use crate::generation::NewGeneration;
use crate::generation_files::GenerationFiles;
use crate::log_file::LogFile;

pub use opening::OpenedLog;

/// A [`DurableLog`] in a file `state.N` of a [`Disk`]; the newest complete generation N is valid.
///
/// What an earlier process left may be only in the caches of the operating system, and if a sync has failed there, no
/// later one covers it. So opening a log writes all its records again, and a process never appends to a file that it
/// has not created.
#[derive(Debug)]
pub struct RecordLog<D: Disk = Directory> {
    generations: GenerationFiles<D>,
    /// The file of the current generation.
    file: LogFile<D::File>,
    /// Whether the records that were found at the opening are durable.
    is_durable: bool,
}

impl<D: Disk> RecordLog<D> {
    /// Whether the records that were found at the opening are durable. If not, because the disk refused writes, they
    /// are after the next successful [`DurableLog::sync`], which may be called at any time.
    pub fn is_durable(&self) -> bool {
        self.is_durable
    }

    /// Writes the records that were found at the opening into a file of this process, if that has not been done.
    fn ensure_durable(&mut self) -> Result<(), LogError> {
        if self.is_durable {
            return Ok(());
        }
        let records = self.file.read_records(self.generations.current())?;
        self.replace_file(&records)
    }

    /// Writes a new generation with these records and goes on with it.
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
        // While a failed generation may come back after a crash, what is written to this older one may be lost.
        let synced = self.generations.remove_failed().and_then(|()| self.file.sync());
        if synced.is_err() {
            self.file.roll_back_to_synced();
        }
        // Where the truncation has failed, records that were rolled back may be found again after a restart: the log does not
        // hold exactly what its caller knows, though what it knows is durable.
        synced.and(truncated)
    }

    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        self.replace_file(records)
    }

    fn length(&self) -> u64 {
        self.file.length()
    }
}
