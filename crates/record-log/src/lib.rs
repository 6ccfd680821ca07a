//! An append-only file of checksummed records, rewritten when it gets long.
//!
//! [`RecordLog`] keeps records in one file of a [`Disk`]: a [`Folder`] of the machine, or a [`MemoryDisk`] that
//! loses power, fills up and hangs when a test says so. [`Keeper`] runs a [`Store`] on a thread of its own.

mod disk;
mod fault;
mod folder;
mod keeper;
mod memory;
mod record;
mod store;

pub use disk::{Disk, DiskFile};
pub use fault::Fault;
pub use folder::{Folder, FolderFile};
pub use keeper::{Done, Keeper, MAX_GROUP, MAX_QUEUED};
pub use memory::{MemoryDisk, MemoryFile};
pub use record::{FRAME, HEADER, MAX_FILE, MAX_RECORD};
pub use store::{RecordLog, Store};
