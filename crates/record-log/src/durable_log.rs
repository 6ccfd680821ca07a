//! The interface of a log, with the durability of each operation.

use crate::error::LogError;

/// An ordered log whose synced records survive crashes and power loss.
pub trait DurableLog {
    /// Appends a record. It is durable only after a successful [`DurableLog::sync`].
    ///
    /// # Errors
    ///
    /// The record is not in the log. Until a later sync succeeds, it may still be found when the log is
    /// opened again.
    fn append(&mut self, record: &[u8]) -> Result<(), LogError>;

    /// Makes all records that were appended so far durable.
    ///
    /// # Errors
    ///
    /// The records that were appended since the last successful sync are no longer in the log, and the caller
    /// has to append them again. Until a later sync succeeds, they may still be found when the log is opened
    /// again.
    fn sync(&mut self) -> Result<(), LogError>;

    /// Atomically replaces all records by these, and makes them durable.
    ///
    /// # Errors
    ///
    /// The log has the same records as before. Until a later sync succeeds, either the old or the new records
    /// may be found when it is opened again.
    fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError>;

    /// Returns the length of the log on disk in bytes, including the header and the frames of its records.
    fn length(&self) -> u64;
}
