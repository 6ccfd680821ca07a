//! What the log needs of a disk.

use std::fmt;
use std::io;

/// A flat directory of files, with no more than the operations that the log needs.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// The names of all files.
    ///
    /// # Errors
    ///
    /// The directory can't be read.
    fn file_names(&mut self) -> io::Result<Vec<String>>;

    /// Creates an empty file; an existing one of that name is truncated. Its name is durable only after a sync of the file or
    /// of the disk.
    ///
    /// # Errors
    ///
    /// The file can't be created.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;

    /// Opens an existing file.
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be opened.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;

    /// Renames a file; an existing one with the new name is replaced. Durable only after [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. Durable only after [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the directory: renamed and removed names are durable afterwards.
    ///
    /// # Errors
    ///
    /// The sync failed; it is unknown which of the names are durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// An open file of a [`Disk`].
pub trait DiskFile: fmt::Debug {
    /// Reads from the start of the file, `max_bytes` at most.
    ///
    /// # Errors
    ///
    /// The file can't be read.
    fn read(&mut self, max_bytes: u64) -> io::Result<Vec<u8>>;

    /// Writes all bytes at an offset.
    ///
    /// # Errors
    ///
    /// The write failed, after any number of the bytes.
    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates or extends the file to a length in bytes.
    ///
    /// # Errors
    ///
    /// The length can't be changed.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Syncs the file: its content and length are durable afterwards, and the name under which it was created.
    ///
    /// # Errors
    ///
    /// The sync failed. What was written since the last successful sync may be lost, and a later successful sync does
    /// not cover it.
    fn sync(&mut self) -> io::Result<()>;
}
