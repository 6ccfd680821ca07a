use std::io;

use quick_error::quick_error;

quick_error! {
    /// What went wrong, numbered.
    #[derive(Debug)]
    pub enum LogError {
        /// 701: a file or the folder can't be read.
        Read(cause: io::Error) {
            display("can't read the store: {cause}")
            source(cause)
        }
        /// 702: a write was refused; a full disk is told by its kind.
        Write(cause: io::Error) {
            display("can't write to the store: {cause}")
            source(cause)
        }
        /// 703: a sync failed, so nothing since the last good one counts as kept.
        Sync(cause: io::Error) {
            display("can't sync the store: {cause}")
            source(cause)
        }
        /// 704: a file can't be created, renamed or removed.
        Directory(cause: io::Error) {
            display("can't change the store's folder: {cause}")
            source(cause)
        }
        /// 705: the record, or the file with it, would be over its bound.
        TooLong(length: u64) {
            display("{length} bytes are too many for the store")
        }
        /// 706: the keeper's queue is full.
        QueueFull {
            display("the store's queue is full")
        }
        /// 707: the keeper's thread has ended.
        Closed {
            display("the store is closed")
        }
        /// 708: the keeper's thread can't be started.
        StartThread(cause: io::Error) {
            display("can't start the store's thread: {cause}")
            source(cause)
        }
    }
}

impl LogError {
    /// The number of the fault, for logs and the table in the docs.
    pub fn code(&self) -> u16 {
        match self {
            LogError::Read(_) => 701,
            LogError::Write(_) => 702,
            LogError::Sync(_) => 703,
            LogError::Directory(_) => 704,
            LogError::TooLong(_) => 705,
            LogError::QueueFull => 706,
            LogError::Closed => 707,
            LogError::StartThread(_) => 708,
        }
    }

    /// Whether the disk refused because it is full.
    pub fn is_disk_full(&self) -> bool {
        match self {
            LogError::Write(cause) | LogError::Sync(cause) | LogError::Directory(cause) => {
                cause.kind() == io::ErrorKind::StorageFull
            }
            _ => false,
        }
    }
}
