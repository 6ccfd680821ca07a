use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::{Disk, DiskFile};

/// A folder of the machine's disk.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
}

/// An open file of a [`Directory`].
#[derive(Debug)]
pub struct DirectoryFile {
    file: File,
    /// Where the file's cursor is, when that is known: an append then needs no seek.
    at: Option<u64>,
}

impl Directory {
    /// The folder at a path, made if it is not there.
    pub fn new(path: &Path) -> io::Result<Directory> {
        if !path.is_dir() {
            fs::create_dir_all(path)?;
        }
        Ok(Directory { path: path.to_path_buf() })
    }
}

impl Disk for Directory {
    type File = DirectoryFile;

    fn names(&mut self) -> io::Result<Vec<String>> {
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
        Ok(DirectoryFile { file, at: Some(0) })
    }

    fn open(&mut self, name: &str) -> io::Result<DirectoryFile> {
        let file = OpenOptions::new().read(true).write(true).open(self.path.join(name))?;
        Ok(DirectoryFile { file, at: Some(0) })
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
    fn seek(&mut self, offset: u64) -> io::Result<()> {
        if self.at.take() != Some(offset) {
            self.file.seek(SeekFrom::Start(offset))?;
        }
        Ok(())
    }
}

impl DiskFile for DirectoryFile {
    fn read(&mut self, most: u64) -> io::Result<Vec<u8>> {
        self.seek(0)?;
        let mut bytes = Vec::new();
        (&self.file).take(most).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(offset)?;
        self.file.write_all(bytes)?;
        self.at = offset.checked_add(bytes.len() as u64);
        Ok(())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        // Not sync_data: the length and, for a new file, the name belong to what must last.
        self.file.sync_all()
    }
}
