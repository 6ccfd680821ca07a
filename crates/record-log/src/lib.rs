//! An append-only log of checksummed records in one file, rewritten when it gets long.
//!
//! [`RecordLog`] stores its records in a file of a [`Disk`]: a [`Directory`] of the machine, or in tests a disk in
//! memory that loses power, fills up, fails and hangs. [`LogWriter`] runs a [`DurableLog`] on a thread of its own and
//! syncs several records together (group commit).
//!
//! Durability: [`DurableLog::append`] syncs nothing; [`DurableLog::sync`] syncs the file and so covers every record that
//! was appended before; [`DurableLog::rewrite`] syncs the new file before its rename and the directory after it.

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
