//! Where the files of a site come from.

use std::collections::BTreeMap;
use std::io;

/// Reads the files of a site: from disk, or from elsewhere in tests and tools.
pub trait Files {
    /// The content of a file. Of a longer one, only its first `limit + 1` bytes are needed, which show that it is too long.
    ///
    /// # Errors
    ///
    /// The file can't be opened or read.
    fn read(&self, path: &str, limit: usize) -> io::Result<Vec<u8>>;
}

/// Files in memory, by path.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles(pub BTreeMap<String, Vec<u8>>);

impl MemoryFiles {
    /// A single file with this path and text.
    pub fn single(path: &str, text: &str) -> Self {
        Self(BTreeMap::from([(path.to_owned(), text.as_bytes().to_vec())]))
    }
}

impl Files for MemoryFiles {
    fn read(&self, path: &str, limit: usize) -> io::Result<Vec<u8>> {
        let bytes = self.0.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok(bytes[..bytes.len().min(limit + 1)].to_vec())
    }
}

/// The path that an include names, as seen from the file that includes it. It is normalized, so that each
/// file has one path, by which cycles of includes are found.
pub(crate) fn resolve_include(including_file: &str, path: &str) -> String {
    let folder = including_file.rsplit_once('/').map_or("", |(folder, _)| folder);
    let full_path =
        if path.starts_with('/') || folder.is_empty() { path.to_owned() } else { format!("{folder}/{path}") };
    let mut parts: Vec<&str> = Vec::new();
    for part in full_path.split('/') {
        match part {
            "." => {}
            ".." if parts.last().is_some_and(|last| !last.is_empty() && *last != "..") => {
                parts.pop();
            }
            _ => parts.push(part),
        }
    }
    parts.join("/")
}
