use std::io;

/// A folder of files, with no more than the machines' disks can do.
pub trait Disk {
    /// An open file.
    type File: DiskFile;

    /// The names of all files.
    fn names(&mut self) -> io::Result<Vec<String>>;
    /// An empty file of that name; one that was there is emptied.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// The file of that name.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    /// Gives a file another name; one that had it is gone.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes renamed and removed names last.
    fn sync(&mut self) -> io::Result<()>;
}

/// An open file of a [`Disk`].
pub trait DiskFile {
    /// The bytes from the start, `most` of them at most.
    fn read(&mut self, most: u64) -> io::Result<Vec<u8>>;
    /// Writes all bytes there, or fails after any part of them.
    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Makes what was written so far last, and a new file's name too.
    fn sync(&mut self) -> io::Result<()>;
}
