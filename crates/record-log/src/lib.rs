//! An append-only log of checksummed records in one file, which is rewritten when it gets too long.
//!
//! [`RecordLog`] stores its records in a file of a [`Disk`], which is a [`Directory`] of the file system, or
//! in tests a disk in memory with injected faults. [`LogWriter`] runs a [`DurableLog`] on a thread of its
//! own, and syncs several records together (group commit).
//!
//! Durability: [`DurableLog::append`] does not sync. [`DurableLog::sync`] syncs the file, and so makes every
//! record durable that was appended before. [`DurableLog::rewrite`] syncs the new file before renaming it,
//! and the directory after that.

mod directory;
mod disk;
mod durable_log;
mod error;
mod format;
mod generation;
mod generation_files;
mod log_file;
mod record_log;
mod writer;

pub use directory::{Directory, DirectoryFile};
pub use disk::{Disk, DiskFile};
pub use durable_log::DurableLog;
pub use error::LogError;
pub use format::{FRAME_LENGTH, HEADER_LENGTH, MAX_FILE_LENGTH, MAX_RECORD_LENGTH};
pub use record_log::{OpenedLog, RecordLog};
pub use writer::{LogWriter, MAX_GROUP_COMMIT, MAX_QUEUED_BYTES, WriteCompletion};
