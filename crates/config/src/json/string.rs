//! JSON strings: finding their ends, decoding and encoding.

use std::borrow::Cow;

use tinyjson::JsonValue;

/// The error reason for a text that ends within a value.
pub(super) const TRUNCATED_TEXT: &str = "cut short";

/// Finds the position after the string that begins at `start`.
///
/// # Errors
///
/// The string does not end, or contains a control character or a malformed `\u` escape.
pub(super) fn find_string_end(text: &str, start: usize) -> Result<usize, &'static str> {
    let bytes = text.as_bytes();
    let mut position = start + 1;
    while let Some(&byte) = bytes.get(position) {
        match byte {
            // All bytes except control characters, the quote and the backslash.
            b' '..=b'!' | b'#'..=b'[' | b']'.. => position += 1,
            b'"' => return Ok(position + 1),
            b'\\' if bytes.get(position + 1) == Some(&b'u') => {
                let digits = bytes.get(position + 2..position + 6).ok_or(TRUNCATED_TEXT)?;
                // tinyjson accepts white space between these digits, but the stored text must be valid JSON.
                if !digits.iter().all(u8::is_ascii_hexdigit) {
                    return Err("\\u without four hexadecimal digits");
                }
                position += 6;
            }
            b'\\' => position += 2,
            _ => return Err("a string with a control character"),
        }
    }
    Err(TRUNCATED_TEXT)
}

/// True if the text is exactly one JSON string without escapes.
pub(super) fn is_unescaped_string(text: &str) -> bool {
    !text.contains('\\') && find_string_end(text, 0) == Ok(text.len())
}

/// Decodes a JSON string; `None` if the text is not one.
pub(crate) fn unquote(quoted: &str) -> Option<Cow<'_, str>> {
    let content = quoted.strip_prefix('"')?.strip_suffix('"')?;
    if !content.contains('\\') {
        return Some(Cow::Borrowed(content));
    }
    match quoted.parse() {
        Ok(JsonValue::String(decoded)) => Some(Cow::Owned(decoded)),
        _ => None,
    }
}

/// Encodes a string as JSON.
pub(crate) fn quote(content: &str) -> String {
    // Encoding fails only for numbers that are not finite, but tinyjson has no infallible function for strings.
    JsonValue::from(content.to_owned()).stringify().unwrap_or_default()
}
