//! Errors of the log.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Reason why an operation of the log failed. The numbers are explained in `docs/codes.md`.
    #[derive(Debug)]
    pub enum LogError {
        /// 701: a file or the directory can't be read.
        Read(cause: io::Error) {
            display("can't read the store: {cause}")
            source(cause)
        }
        /// 702: a write failed; see [`LogError::is_disk_full`] for the most frequent cause.
        Write(cause: io::Error) {
            display("can't write to the store: {cause}")
            source(cause)
        }
        /// 703: a sync failed, so nothing written since the last successful one is durable.
        Sync(cause: io::Error) {
            display("can't sync the store: {cause}")
            source(cause)
        }
        /// 704: a file can't be created, renamed or removed.
        Directory(cause: io::Error) {
            display("can't change the store's folder: {cause}")
            source(cause)
        }
        /// 705: the record, or the file with it, would exceed its maximum length. The value is the length in
        /// bytes.
        TooLong(length: u64) {
            display("{length} bytes are too many for the store")
        }
        /// 706: the writer's queue is full.
        QueueFull {
            display("the store's queue is full")
        }
        /// 707: the writer's thread has ended.
        Closed {
            display("the store is closed")
        }
        /// 708: the writer's thread could not be started.
        StartThread(cause: io::Error) {
            display("can't start the store's thread: {cause}")
            source(cause)
        }
    }
}

impl LogError {
    /// Returns the number of the error, which is used in logs and explained in `docs/codes.md`.
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

    /// Returns true if the operation failed because the disk is full.
    pub fn is_disk_full(&self) -> bool {
        match self {
            LogError::Write(cause) | LogError::Sync(cause) | LogError::Directory(cause) => {
                cause.kind() == io::ErrorKind::StorageFull
            }
            _ => false,
        }
    }
}
