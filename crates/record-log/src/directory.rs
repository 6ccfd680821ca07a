//! A [`Disk`] in a directory of the file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::disk::{Disk, DiskFile};

/// A directory of the file system.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
}

/// An open file of a [`Directory`].
#[derive(Debug)]
pub struct DirectoryFile {
    file: File,
    /// The offset of the file's cursor in bytes, if known, so that an append needs no seek. `None` after an
    /// operation that may have left it anywhere.
    cursor: Option<u64>,
}

impl Directory {
    /// Opens the directory at a path, and creates it with its parents if it does not exist.
    ///
    /// # Errors
    ///
    /// The directory can't be created.
    pub fn new(path: &Path) -> io::Result<Directory> {
        if !path.is_dir() {
            fs::create_dir_all(path)?;
        }
        Ok(Directory { path: path.to_path_buf() })
    }
}

impl Disk for Directory {
    type File = DirectoryFile;

    fn file_names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn create(&mut self, name: &str) -> io::Result<DirectoryFile> {
        let path = self.path.join(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        Ok(DirectoryFile { file, cursor: Some(0) })
    }

    fn open(&mut self, name: &str) -> io::Result<DirectoryFile> {
        let file = OpenOptions::new().read(true).write(true).open(self.path.join(name))?;
        Ok(DirectoryFile { file, cursor: Some(0) })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DirectoryFile {
    /// Moves the cursor to an offset. The offset counts as unknown until the next operation has succeeded.
    fn seek(&mut self, offset: u64) -> io::Result<()> {
        if self.cursor.take() != Some(offset) {
            self.file.seek(SeekFrom::Start(offset))?;
        }
        Ok(())
    }
}

impl DiskFile for DirectoryFile {
    fn read(&mut self, max_bytes: u64) -> io::Result<Vec<u8>> {
        self.seek(0)?;
        let mut bytes = Vec::new();
        (&self.file).take(max_bytes).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(offset)?;
        self.file.write_all(bytes)?;
        self.cursor = offset.checked_add(bytes.len() as u64);
        Ok(())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        // fsync instead of fdatasync: the length, and the name of a new file, must be durable too.
        self.file.sync_all()
    }
}
