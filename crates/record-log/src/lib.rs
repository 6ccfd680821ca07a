//! An append-only log of checksummed records in one file, rewritten when it gets long.
//!
//! [`RecordLog`] keeps its records in a file of a [`Disk`]: a [`Directory`] of the machine, or a [`MemoryDisk`] that
//! loses power, fills up, fails and hangs when a test asks for it. [`LogWriter`] runs a [`DurableLog`] on a thread of
//! its own and syncs several records together (group commit).
//!
//! Durability: [`DurableLog::append`] syncs nothing; [`DurableLog::sync`] syncs the file and so covers every record that
//! was appended before; [`DurableLog::rewrite`] syncs the new file before its rename and the directory after it.

mod directory;
mod disk;
mod error;
mod format;
mod generation;
mod memory_disk;
mod record_log;
mod writer;

pub use directory::{Directory, DirectoryFile};
pub use disk::{Disk, DiskFile};
pub use error::LogError;
pub use format::{FRAME_LENGTH, HEADER_LENGTH, MAX_FILE_LENGTH, MAX_RECORD_LENGTH};
pub use memory_disk::{MemoryDisk, MemoryFile};
pub use record_log::{DurableLog, RecordLog};
pub use writer::{LogWriter, MAX_GROUP_COMMIT, MAX_QUEUED_BYTES, WriteCompletion};
