//! Where the files of a site come from.

use std::collections::BTreeMap;
use std::io;

/// Gives the bytes of a file. Tests and tools put their own in its place.
pub trait Files {
    /// The whole file, or why it cannot be had. No more than `limit` bytes and one are needed.
    ///
    /// # Errors
    ///
    /// The file can't be opened or read.
    fn read(&self, path: &str, limit: usize) -> io::Result<Vec<u8>>;
}

/// Files that are held in memory, by path.
#[derive(Clone, Debug, Default)]
pub struct Memory(pub BTreeMap<String, Vec<u8>>);

impl Memory {
    /// One file.
    pub fn one(path: &str, text: &str) -> Self {
        Self(BTreeMap::from([(path.to_owned(), text.as_bytes().to_vec())]))
    }
}

impl Files for Memory {
    fn read(&self, path: &str, limit: usize) -> io::Result<Vec<u8>> {
        let bytes = self.0.get(path).ok_or(io::ErrorKind::NotFound)?;
        Ok(bytes[..bytes.len().min(limit + 1)].to_vec())
    }
}

/// The path that an include names, seen from the file that includes it.
pub(crate) fn beside(including: &str, path: &str) -> String {
    let folder = including.rsplit_once('/').map_or("", |(folder, _)| folder);
    let whole =
        if path.starts_with('/') || folder.is_empty() { path.to_owned() } else { format!("{folder}/{path}") };
    let mut parts: Vec<&str> = Vec::new();
    for part in whole.split('/') {
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

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the search for include cycles: one file has one path.
    #[test]
    fn a_path_is_seen_from_the_including_file() {
        assert_eq!(beside("deploy/site.kdl", "pools.kdl"), "deploy/pools.kdl");
        assert_eq!(beside("deploy/a/site.kdl", "../b/./pools.kdl"), "deploy/b/pools.kdl");
        assert_eq!(beside("site.kdl", "../x.kdl"), "../x.kdl");
        assert_eq!(beside("deploy/site.kdl", "/etc/x.kdl"), "/etc/x.kdl");
    }
}
