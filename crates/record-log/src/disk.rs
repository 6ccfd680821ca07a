//! The file operations that the log needs.

use std::fmt;
use std::io;

/// A flat directory of files, with only the operations that the log needs.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// The directory can't be read.
    fn file_names(&mut self) -> io::Result<Vec<String>>;

    /// Creates an empty file, truncating an existing one of that name. The name is durable only after a sync
    /// of the file or of the disk.
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

    /// Renames a file, replacing an existing one with the new name. The change is durable only after
    /// [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. The removal is durable only after [`Disk::sync`].
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Syncs the directory, so that renames and removals are durable afterwards.
    ///
    /// # Errors
    ///
    /// The sync failed, and it is unknown which of the names are durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// An open file of a [`Disk`].
pub trait DiskFile: fmt::Debug {
    /// Reads up to `max_bytes` from the start of the file.
    ///
    /// # Errors
    ///
    /// The file can't be read.
    fn read(&mut self, max_bytes: u64) -> io::Result<Vec<u8>>;

    /// Writes all bytes at an offset.
    ///
    /// # Errors
    ///
    /// The write failed. Any number of the bytes may have been written.
    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates or extends the file to a length in bytes.
    ///
    /// # Errors
    ///
    /// The length can't be changed.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Syncs the file, so that its content, its length and the name under which it was created are durable
    /// afterwards.
    ///
    /// # Errors
    ///
    /// The sync failed. Data written since the last successful sync may be lost, and a later successful sync
    /// does not cover it.
    fn sync(&mut self) -> io::Result<()>;
}
