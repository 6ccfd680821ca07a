//! The operations of a log, and what is durable after each of them.

use crate::error::LogError;

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

    /// The length of the log on the disk, in bytes: the content of its records and what frames them.
    fn length(&self) -> u64;
}
