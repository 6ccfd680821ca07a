//! Why a JSON text could not be read.

use thiserror::Error;

use crate::json::MAX_DEPTH;

/// Why a text could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// It nests too deeply to be parsed.
    #[error("nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
    /// It is not JSON. The text says what is wrong, with line and column.
    #[error("{0}")]
    Syntax(String),
    /// One of its values is wrong.
    #[error("{}{reason}", prefix(path))]
    Invalid {
        /// Path of the value, such as `classes[0].target_s`; empty for the whole text.
        path: String,
        /// What is wrong with it.
        reason: InvalidValue,
    },
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidValue {
    /// It is of another type, or a number out of bounds.
    #[error("invalid type: {found}, expected {expected}")]
    WrongType {
        /// What was found.
        found: String,
        /// What has to be there.
        expected: &'static str,
    },
    /// It lacks a field.
    #[error("missing field `{0}`")]
    MissingField(String),
    /// It is not one of the names that have a meaning there.
    #[error("{0:?} is not known")]
    UnknownName(String),
    /// It breaks another rule.
    #[error("{0}")]
    BrokenRule(&'static str),
}

fn prefix(path: &str) -> String {
    if path.is_empty() { String::new() } else { format!("{path}: ") }
}
