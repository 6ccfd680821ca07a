//! Parses texts as JSON values.

use tinyjson::{JsonParseError, JsonValue};

use super::containers::{RawField, split_array, split_object};
use super::string::{is_unescaped_string, unquote};
use super::structure::{MAX_DEPTH, check_structure};
use crate::error::{ConfigError, ConfigErrorKind};

/// 2^53: all whole numbers up to this one are exact as `f64`, which many JSON parsers use for numbers.
pub(crate) const MAX_WHOLE_NUMBER: f64 = 9_007_199_254_740_992.0;

/// The maximum number of digits of a whole number that is parsed as an integer, so that no rounding occurs.
const EXACT_DIGITS: usize = 15;

/// The start of the library's error message for a key that is not a string.
const WRONG_KEY: &str = "Key of object must be string";

/// Parses untrusted JSON; `None` if the text is not UTF-8, is not exactly one well-formed value, is nested deeper than
/// [`MAX_DEPTH`] levels, or has an object with duplicate keys.
///
/// The depth is checked first because the library's parser is recursive, so a text of nested brackets could overflow
/// the stack.
pub fn parse_json(text: &[u8]) -> Option<JsonValue> {
    let text = std::str::from_utf8(text).ok()?;
    check_structure(text, MAX_DEPTH).ok()?;
    text.parse().ok()
}

/// Parses a value whose structure has been checked.
///
/// # Errors
///
/// The text is not one JSON value. The error has the reason that the library gives.
pub(crate) fn parse_value(text: &str, location: &str) -> Result<JsonValue, ConfigError> {
    if let Some(value) = parse_fast(text) {
        return Ok(value);
    }
    // Parse the text again with the library to get the reason of the error.
    text.parse().map_err(|error: JsonParseError| ConfigErrorKind::malformed_json(reason(&error)).at(location))
}

/// The reason that the library gives. If a key is not a string, the library quotes the value, with the fields of an
/// object in random order. The quote is removed so that a text always has the same error.
fn reason(error: &JsonParseError) -> String {
    let mut reason = error.to_string();
    if let Some(start) = reason.find(WRONG_KEY) {
        reason.truncate(start + WRONG_KEY.len());
    }
    reason
}

/// Parses a value whose structure has been checked; `None` if it is malformed.
///
/// Only less common numbers and strings with escapes go through the library's parser, which is several times slower.
/// This function is recursive; the structure check limits the depth.
fn parse_fast(text: &str) -> Option<JsonValue> {
    match text.as_bytes() {
        b"true" => Some(JsonValue::Boolean(true)),
        b"false" => Some(JsonValue::Boolean(false)),
        b"null" => Some(JsonValue::Null),
        b"0" => Some(JsonValue::Number(0.0)),
        [b'1'..=b'9', rest @ ..] if rest.len() < EXACT_DIGITS && rest.iter().all(u8::is_ascii_digit) => {
            text.parse::<u64>().ok().map(|number| JsonValue::Number(number as f64))
        }
        [b'"', ..] if is_unescaped_string(text) => {
            unquote(text).map(|content| JsonValue::String(content.into_owned()))
        }
        [b'[', ..] => {
            let elements: Option<Vec<_>> = split_array(text)?.into_iter().map(parse_fast).collect();
            elements.map(JsonValue::Array)
        }
        [b'{', ..] => {
            let parse_field = |RawField { key, value }| Some((key.into_owned(), parse_fast(value)?));
            let fields: Option<_> = split_object(text)?.into_iter().map(parse_field).collect();
            fields.map(JsonValue::Object)
        }
        _ => text.parse().ok(),
    }
}

/// Parses a whole number from 0 to 2^53, such as a revision.
///
/// # Errors
///
/// The text is not such a number.
pub(crate) fn parse_whole_number(text: &str, location: &str) -> Result<u64, ConfigError> {
    match parse_value(text, location)? {
        JsonValue::Number(number) if (0.0..=MAX_WHOLE_NUMBER).contains(&number) && number.fract() == 0.0 => {
            Ok(number as u64)
        }
        JsonValue::Number(_) => {
            Err(ConfigErrorKind::OutOfRange("be a whole number from 0 to 2^53").at(location))
        }
        _ => Err(ConfigErrorKind::WrongType("a number").at(location)),
    }
}

/// The error for a text that is not the expected object or array: it is malformed or has another type.
pub(crate) fn type_error(text: &str, location: &str, expected: &'static str) -> ConfigError {
    match parse_value(text, location) {
        Err(error) => error,
        Ok(_) => ConfigErrorKind::WrongType(expected).at(location),
    }
}
