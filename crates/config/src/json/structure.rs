//! Checks the structure of a JSON text in one pass before any of it is parsed.

use std::borrow::Cow;

use super::string::{TRUNCATED_TEXT, find_string_end, unquote};
use crate::error::{ConfigError, ConfigErrorKind, truncate};

/// The maximum length of a configuration's text, in bytes.
pub const MAX_BYTES: usize = 4 << 20;
/// The maximum nesting depth of objects and arrays in a configuration.
pub const MAX_DEPTH: usize = 48;

/// Decodes an untrusted text.
///
/// # Errors
///
/// The text is longer than `max_bytes` or not UTF-8.
pub(crate) fn decode_utf8(bytes: &[u8], max_bytes: usize) -> Result<&str, ConfigError> {
    if bytes.len() > max_bytes {
        return Err(ConfigErrorKind::TooLong(max_bytes).at("body"));
    }
    std::str::from_utf8(bytes)
        .map_err(|error| ConfigErrorKind::NotUtf8.at(byte_location(error.valid_up_to())))
}

/// Checks that brackets match and are not nested deeper than `max_depth`, that strings are complete, and that no object
/// has duplicate keys.
///
/// No text may be parsed before it has passed this check: `tinyjson` and the parsers of this crate are recursive, so a
/// text of nested brackets could overflow the stack, and `tinyjson` silently keeps only the last of several equal keys.
///
/// # Errors
///
/// The first violation, at its byte.
pub(crate) fn check_structure(text: &str, max_depth: usize) -> Result<(), ConfigError> {
    let checker =
        StructureChecker { text, max_depth, open_brackets: Vec::new(), keys: Vec::new(), expects_key: false };
    checker.check()
}

/// A bracket that has not been closed yet.
enum OpenBracket {
    Array,
    /// `keys_before` is the number of keys of the objects around this one.
    Object {
        keys_before: usize,
    },
}

struct StructureChecker<'a> {
    text: &'a str,
    max_depth: usize,
    open_brackets: Vec<OpenBracket>,
    /// The keys read so far of all open objects, those of the innermost object last, with their positions.
    keys: Vec<(Cow<'a, str>, usize)>,
    /// True if the next string is a key.
    expects_key: bool,
}

impl StructureChecker<'_> {
    fn check(mut self) -> Result<(), ConfigError> {
        let bytes = self.text.as_bytes();
        let mut position = 0;
        while let Some(&byte) = bytes.get(position) {
            match byte {
                b'"' => {
                    position = self.skip_string(position)?;
                    continue;
                }
                b'{' | b'[' => self.open_bracket(byte, position)?,
                b'}' | b']' => self.close_bracket(byte, position)?,
                b',' => {
                    self.expects_key = matches!(self.open_brackets.last(), Some(OpenBracket::Object { .. }));
                }
                _ => {}
            }
            position += 1;
        }
        if self.open_brackets.is_empty() { Ok(()) } else { Err(malformed(TRUNCATED_TEXT, position)) }
    }

    /// Skips a string, recording it if it is a key. Returns the position after it.
    fn skip_string(&mut self, start: usize) -> Result<usize, ConfigError> {
        let end = find_string_end(self.text, start).map_err(|reason| malformed(reason, start))?;
        if std::mem::take(&mut self.expects_key) {
            let quoted = self.text.get(start..end).unwrap_or_default();
            let key = unquote(quoted).ok_or_else(|| malformed("bad key", start))?;
            self.keys.push((key, start));
        }
        Ok(end)
    }

    fn open_bracket(&mut self, byte: u8, position: usize) -> Result<(), ConfigError> {
        if self.open_brackets.len() >= self.max_depth {
            return Err(ConfigErrorKind::TooDeep(self.max_depth).at(byte_location(position)));
        }
        self.expects_key = byte == b'{';
        self.open_brackets.push(match byte {
            b'{' => OpenBracket::Object { keys_before: self.keys.len() },
            _ => OpenBracket::Array,
        });
        Ok(())
    }

    fn close_bracket(&mut self, byte: u8, position: usize) -> Result<(), ConfigError> {
        match (self.open_brackets.pop(), byte) {
            (Some(OpenBracket::Object { keys_before }), b'}') => {
                self.check_keys_differ(keys_before)?;
                self.keys.truncate(keys_before);
                self.expects_key = false;
                Ok(())
            }
            (Some(OpenBracket::Array), b']') => Ok(()),
            _ => Err(malformed("brackets do not match", position)),
        }
    }

    /// Checks the keys of the innermost object for duplicates.
    fn check_keys_differ(&mut self, keys_before: usize) -> Result<(), ConfigError> {
        let keys = self.keys.get_mut(keys_before..).unwrap_or_default();
        keys.sort_unstable();
        for ((first, _), (second, position)) in keys.iter().zip(keys.iter().skip(1)) {
            if first == second {
                let key = truncate(second.to_string());
                return Err(ConfigErrorKind::DuplicateKey(key).at(byte_location(*position)));
            }
        }
        Ok(())
    }
}

fn malformed(reason: &str, position: usize) -> ConfigError {
    ConfigErrorKind::malformed_json(reason).at(byte_location(position))
}

fn byte_location(position: usize) -> String {
    format!("byte {position}")
}
