//! An append-only file of checksummed records, rewritten when it gets long.
//!
//! [`RecordLog`] keeps records in one file of a [`Disk`]: a [`Directory`] of the machine, or a [`MemoryDisk`] that
//! loses power, fills up and hangs when a test says so. [`LogWriter`] runs a [`DurableLog`] on a thread of its own.

mod disk;
mod fault;
mod folder;
mod keeper;
mod memory;
mod record;
mod store;

pub use disk::{Disk, DiskFile};
pub use fault::LogError;
pub use folder::{Directory, DirectoryFile};
pub use keeper::{LogWriter, MAX_GROUP_COMMIT, MAX_QUEUED_BYTES, WriteCompletion};
pub use memory::{MemoryDisk, MemoryFile};
pub use record::{FRAME_LENGTH, HEADER_LENGTH, MAX_FILE_LENGTH, MAX_RECORD_LENGTH};
pub use store::{DurableLog, RecordLog};
