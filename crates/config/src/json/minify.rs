//! Removes white space from JSON text.

use std::borrow::Cow;

use super::cursor::is_space;
use super::string::find_string_end;

/// Removes the white space between values. Strings and the spelling of numbers are not changed.
pub(crate) fn minify(text: &str) -> Cow<'_, str> {
    let bytes = text.as_bytes();
    // Most texts contain no white space. A fold without an early exit compiles to vector instructions.
    if !bytes.iter().fold(false, |found, byte| found | is_space(*byte)) {
        return Cow::Borrowed(text);
    }
    let mut minified: Option<String> = None;
    let mut copied = 0;
    let mut position = 0;
    while let Some(&byte) = bytes.get(position) {
        if byte == b'"' {
            position = find_string_end(text, position).unwrap_or(bytes.len());
        } else if is_space(byte) {
            let minified = minified.get_or_insert_with(|| String::with_capacity(text.len()));
            minified.push_str(text.get(copied..position).unwrap_or_default());
            position += 1;
            copied = position;
        } else {
            position += 1;
        }
    }
    match minified {
        None => Cow::Borrowed(text),
        Some(mut minified) => {
            minified.push_str(text.get(copied..).unwrap_or_default());
            Cow::Owned(minified)
        }
    }
}
