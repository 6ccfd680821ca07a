//! Reads a complete configuration with all checks.

use super::document::parse_document;
use crate::config::Config;
use crate::document::REVISION;
use crate::error::ConfigError;
use crate::json::containers::split_object;
use crate::json::structure::{MAX_BYTES, MAX_DEPTH, check_structure, decode_utf8};
use crate::json::value::parse_whole_number;
use crate::validation::validate;

impl Config {
    /// Parses a complete configuration.
    ///
    /// # Errors
    ///
    /// The first error that is found, of any kind except [`StaleRevision`](crate::ConfigErrorKind::StaleRevision) and
    /// [`PatchMismatch`](crate::ConfigErrorKind::PatchMismatch).
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        validate(parse_document(check_text(text)?)?)
    }
}

/// Decodes an operator's text and checks its structure.
///
/// # Errors
///
/// The text is too long, not UTF-8, nested too deep or malformed, or an object in it has duplicate keys.
pub(crate) fn check_text(text: &[u8]) -> Result<&str, ConfigError> {
    let text = decode_utf8(text, MAX_BYTES)?;
    check_structure(text, MAX_DEPTH)?;
    Ok(text)
}

/// Reads only the revision from the text of a configuration or a change; `None` if the text has no valid revision or
/// its structure is invalid.
pub fn peek_revision(text: &[u8]) -> Option<u64> {
    let fields = split_object(check_text(text).ok()?)?;
    let revision = fields.into_iter().find(|field| field.key == REVISION)?;
    parse_whole_number(revision.value, REVISION).ok()
}
