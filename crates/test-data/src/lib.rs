//! For tests only: reads the bytes that earlier versions have written, and compares them with what is written today.
//!
//! Each package keeps such bytes in `tests/data/former`, where a README.md says which version wrote them. Processes of
//! two versions meet while a fleet is upgraded, and disks outlive programs, so the files are never written anew.
//!
//! Functions panic where a file is missing or a comparison fails, as assertions of tests do.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::path::{Path, PathBuf};

use minicbor::{Decode, Encode};

/// Where a package keeps the bytes of earlier versions, below its own directory.
const FORMER_DIRECTORY: &str = "tests/data/former";
/// The extension of a file that holds one minicbor value.
const CBOR_EXTENSION: &str = ".cbor";

/// A directory of files that an earlier version has written.
#[derive(Clone, Debug)]
pub struct FormerData {
    directory: PathBuf,
}

impl FormerData {
    /// The data of a package, by its `CARGO_MANIFEST_DIR`.
    pub fn of_package(manifest_directory: &str) -> FormerData {
        FormerData { directory: Path::new(manifest_directory).join(FORMER_DIRECTORY) }
    }

    /// A directory below this one.
    pub fn subdirectory(&self, name: &str) -> FormerData {
        FormerData { directory: self.directory.join(name) }
    }

    /// The bytes of a file, by its complete name.
    ///
    /// # Panics
    ///
    /// The file can't be read.
    pub fn bytes(&self, file_name: &str) -> Vec<u8> {
        let path = self.directory.join(file_name);
        std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// The bytes of a file that holds one minicbor value, by its name without the extension.
    ///
    /// # Panics
    ///
    /// The file can't be read.
    pub fn cbor(&self, name: &str) -> Vec<u8> {
        self.bytes(&format!("{name}{CBOR_EXTENSION}"))
    }

    /// The names of all files that hold minicbor values, without the extension.
    ///
    /// # Panics
    ///
    /// The directory can't be read.
    pub fn cbor_names(&self) -> BTreeSet<String> {
        let names = file_names(&self.directory).into_iter();
        names.filter_map(|name| name.strip_suffix(CBOR_EXTENSION).map(str::to_owned)).collect()
    }

    /// All files by name, with their bytes.
    ///
    /// # Panics
    ///
    /// The directory or a file can't be read.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        files_of(&self.directory)
    }

    /// Copies all files to another directory, where they may be changed.
    ///
    /// # Panics
    ///
    /// A file can't be read or written.
    pub fn copy_to(&self, directory: &Path) {
        for (name, bytes) in self.files() {
            let path = directory.join(name);
            std::fs::write(&path, bytes).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        }
    }

    /// Asserts that a file is read as this value, and that the value is written as the bytes of the file.
    ///
    /// # Panics
    ///
    /// It is not.
    pub fn assert_round_trip<T>(&self, name: &str, value: &T)
    where
        T: Encode<()> + for<'bytes> Decode<'bytes, ()> + PartialEq + Debug,
    {
        let bytes = self.cbor(name);
        assert_eq!(&decode::<T>(name, &bytes), value, "{name}");
        assert_eq!(encode(name, value), bytes, "{name}");
    }

    /// Asserts that this value, and the value that a file is read as, are both written as the bytes of the file: for
    /// values that can't be compared.
    ///
    /// # Panics
    ///
    /// They are not.
    pub fn assert_same_encoding<T>(&self, name: &str, value: &T)
    where
        T: Encode<()> + for<'bytes> Decode<'bytes, ()>,
    {
        let bytes = self.cbor(name);
        assert_eq!(encode(name, value), bytes, "{name}");
        assert_eq!(encode(name, &decode::<T>(name, &bytes)), bytes, "{name}");
    }
}

/// The files of a directory by name, with their bytes.
///
/// # Panics
///
/// The directory or a file can't be read.
pub fn files_of(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let read = |name: String| {
        let path = directory.join(&name);
        let bytes = std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        (name, bytes)
    };
    file_names(directory).into_iter().map(read).collect()
}

fn file_names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory);
    let entries = entries.unwrap_or_else(|error| panic!("{}: {error}", directory.display()));
    let names = entries.map(|entry| entry.ok()?.file_name().into_string().ok());
    names.map(|name| name.unwrap_or_else(|| panic!("{}: a name", directory.display()))).collect()
}

fn decode<T: for<'bytes> Decode<'bytes, ()>>(name: &str, bytes: &[u8]) -> T {
    minicbor::decode(bytes).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn encode<T: Encode<()>>(name: &str, value: &T) -> Vec<u8> {
    minicbor::to_vec(value).unwrap_or_else(|error| panic!("{name}: {error}"))
}
