//! Errors in a settings file.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// An error in a settings file. docs/codes.md lists the codes.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum SettingsError {
        /// The file can't be read.
        Unreadable(path: PathBuf, error: io::Error) {
            display("S01 {}: can't be read: {}", path.display(), error)
            source(error)
        }
        /// A line is no field, or the value of a known field is not UTF-8.
        InvalidLine(line: usize, reason: String) {
            display("S02 line {line}: {reason}")
        }
        /// A required field is missing.
        Missing(key: &'static str) {
            display("S03 {key} is missing")
        }
        /// The value of a field has the wrong type, or is out of range.
        InvalidValue(line: usize, key: String, value: String, expected: &'static str) {
            display("S04 line {line}: {key} is '{value}': it must be {expected}")
        }
    }
}

impl SettingsError {
    /// The error for a field that has no value: it is not in the file (`line` is `None`), or empty there.
    pub(super) fn without_value(
        key: &'static str,
        line: Option<usize>,
        expected: &'static str,
    ) -> SettingsError {
        match line {
            None => SettingsError::Missing(key),
            Some(line) => SettingsError::InvalidValue(line, key.to_owned(), String::new(), expected),
        }
    }
}
