//! Errors of reading JSON texts.

use thiserror::Error;

use crate::json::MAX_DEPTH;

/// Why a text could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// The text nests too deeply to be parsed.
    #[error("nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
    /// The text is not JSON. The message says what is wrong, with line and column.
    #[error("{0}")]
    Syntax(String),
    /// A value in the text is invalid.
    #[error("{}{reason}", prefix(path))]
    Invalid {
        /// The path of the value, such as `classes[0].target_s`; empty for the whole text.
        path: String,
        /// What is wrong with it.
        reason: InvalidValue,
    },
}

/// Why a value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidValue {
    /// It has the wrong type, or is a number out of bounds.
    #[error("invalid type: {found}, expected {expected}")]
    WrongType {
        /// What was found.
        found: String,
        /// What was expected.
        expected: &'static str,
    },
    /// It lacks a field.
    #[error("missing field `{0}`")]
    MissingField(String),
    /// It is not one of the allowed names.
    #[error("{0:?} is not known")]
    UnknownName(String),
    /// It breaks another rule.
    #[error("{0}")]
    BrokenRule(&'static str),
}

fn prefix(path: &str) -> String {
    if path.is_empty() { String::new() } else { format!("{path}: ") }
}
