//! An append-only file of checksummed records, rewritten when it gets long.
//!
//! [`RecordLog`] keeps records in one file of a [`Disk`]: a [`Directory`] of the machine, or a [`MemoryDisk`] that
//! loses power, fills up and hangs when a test says so. [`LogWriter`] runs a [`DurableLog`] on a thread of its own.

mod directory;
mod disk;
mod error;
mod format;
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
