//! The text before it is parsed: how deep it is nested, keys that come twice, and its pieces.
//!
//! A big configuration is parsed item by item, so that never more than one item is held as JSON values. What is cut
//! here is parsed by `tinyjson` piece by piece; only the brackets, commas and colons of the upper levels are read here.

use std::borrow::Cow;

use tinyjson::JsonValue;

use crate::document as draft;
use crate::error::{ConfigError, ConfigErrorKind};
use crate::json::object as value;

/// The longest text that is read.
pub const MAX_BYTES: usize = 4 << 20;
/// How deep a configuration may be nested.
pub const MAX_DEPTH: usize = 48;

const CUT: &str = "cut short";

/// UTF-8 and not too long.
pub(crate) fn text(bytes: &[u8], most: usize) -> Result<&str, ConfigError> {
    if bytes.len() > most {
        return Err(ConfigErrorKind::TooLong(most).at("body"));
    }
    std::str::from_utf8(bytes)
        .map_err(|fault| ConfigErrorKind::NotUtf8.at(format!("byte {}", fault.valid_up_to())))
}

/// Reads JSON that somebody else wrote. `None`: it can't be read whole.
///
/// Danger: the library's reader recurses, so a text of brackets alone would end the process by its stack.
pub fn parse_json(text: &[u8]) -> Option<tinyjson::JsonValue> {
    let text = std::str::from_utf8(text).ok()?;
    guard(text, MAX_DEPTH).ok()?;
    text.parse().ok()
}

/// The revision that the text of a configuration or a change bears, before it is read whole. `None`: it bears none,
/// or can't be read.
pub fn peek_revision(text: &[u8]) -> Option<u64> {
    let text = self::text(text, MAX_BYTES).ok()?;
    guard(text, MAX_DEPTH).ok()?;
    let (_, value) = fields(text)?.into_iter().find(|(key, _)| key == draft::REVISION)?;
    value::whole(&value::parse(value, draft::REVISION).ok()?, draft::REVISION).ok()
}

/// Goes once over a text: brackets that match, no level below `depth`, whole strings, no key twice in one object.
///
/// Danger: `tinyjson` descends by recursion and keeps the last of two equal keys; nothing is parsed before this.
pub(crate) fn guard(text: &str, depth: usize) -> Result<(), ConfigError> {
    let here = |at: usize| format!("byte {at}");
    let bytes = text.as_bytes();
    // For an object the number of keys that lie below its own ones.
    let mut open: Vec<Option<usize>> = Vec::new();
    let mut keys: Vec<(Cow<'_, str>, usize)> = Vec::new();
    let mut key_next = false;
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        match byte {
            b'"' => {
                let end =
                    string_end(text, at).map_err(|why| ConfigErrorKind::malformed_json(why).at(here(at)))?;
                if std::mem::take(&mut key_next) {
                    let raw = text.get(at..end).unwrap_or_default();
                    let key = unquote(raw)
                        .ok_or_else(|| ConfigErrorKind::malformed_json("bad key").at(here(at)))?;
                    keys.push((key, at));
                }
                at = end;
                continue;
            }
            b'{' | b'[' => {
                if open.len() >= depth {
                    return Err(ConfigErrorKind::TooDeep(depth).at(here(at)));
                }
                key_next = byte == b'{';
                open.push(key_next.then_some(keys.len()));
            }
            b'}' | b']' => match (open.pop(), byte) {
                (Some(Some(from)), b'}') => {
                    let own = keys.get_mut(from..).unwrap_or_default();
                    own.sort_unstable();
                    for (one, two) in own.iter().zip(own.iter().skip(1)) {
                        if one.0 == two.0 {
                            let key = crate::error::brief(two.0.to_string());
                            return Err(ConfigErrorKind::DuplicateKey(key).at(here(two.1)));
                        }
                    }
                    keys.truncate(from);
                    key_next = false;
                }
                (Some(None), b']') => {}
                _ => return Err(ConfigErrorKind::malformed_json("brackets do not match").at(here(at))),
            },
            b',' => key_next = matches!(open.last(), Some(Some(_))),
            _ => {}
        }
        at += 1;
    }
    if open.is_empty() { Ok(()) } else { Err(ConfigErrorKind::malformed_json(CUT).at(here(at))) }
}

/// Where the string that begins at `start` ends.
fn string_end(text: &str, start: usize) -> Result<usize, &'static str> {
    let bytes = text.as_bytes();
    let mut at = start + 1;
    while let Some(&byte) = bytes.get(at) {
        match byte {
            b' '..=b'!' | b'#'..=b'[' | b']'.. => at += 1,
            b'"' => return Ok(at + 1),
            b'\\' if bytes.get(at + 1) == Some(&b'u') => {
                let hex = bytes.get(at + 2..at + 6).ok_or(CUT)?;
                // tinyjson passes over white space here; a text that is shown again must not have it.
                if !hex.iter().all(u8::is_ascii_hexdigit) {
                    return Err("\\u without four hexadecimal digits");
                }
                at += 6;
            }
            b'\\' => at += 2,
            _ => return Err("a string with a control character"),
        }
    }
    Err(CUT)
}

/// One whole string of JSON that stands for itself.
pub(crate) fn is_plain_string(raw: &str) -> bool {
    !raw.contains('\\') && string_end(raw, 0) == Ok(raw.len())
}

/// The string that a JSON string stands for.
pub(crate) fn unquote(raw: &str) -> Option<Cow<'_, str>> {
    let inner = raw.strip_prefix('"')?.strip_suffix('"')?;
    if !inner.contains('\\') {
        return Some(Cow::Borrowed(inner));
    }
    match raw.parse() {
        Ok(JsonValue::String(text)) => Some(Cow::Owned(text)),
        _ => None,
    }
}

/// A string as JSON.
pub(crate) fn quote(text: &str) -> String {
    // Writing a string as JSON doesn't fail; there is no other way out of tinyjson.
    JsonValue::from(text.to_owned()).stringify().unwrap_or_default()
}

/// A text without the white space between its values.
pub(crate) fn minify(text: &str) -> Cow<'_, str> {
    let bytes = text.as_bytes();
    // Mostly there is none at all; without an early end this is quick.
    if !bytes.iter().fold(false, |found, byte| found | is_space(*byte)) {
        return Cow::Borrowed(text);
    }
    let mut out: Option<String> = None;
    let mut kept = 0;
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        if byte == b'"' {
            at = string_end(text, at).unwrap_or(bytes.len());
        } else if is_space(byte) {
            let out = out.get_or_insert_with(|| String::with_capacity(text.len()));
            out.push_str(text.get(kept..at).unwrap_or_default());
            at += 1;
            kept = at;
        } else {
            at += 1;
        }
    }
    match out {
        None => Cow::Borrowed(text),
        Some(mut out) => {
            out.push_str(text.get(kept..).unwrap_or_default());
            Cow::Owned(out)
        }
    }
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\n' | b'\r' | b'\t')
}

/// A place in a text.
pub(crate) struct Cursor<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Cursor { text, at: 0 }
    }

    /// Takes this text, if it comes next.
    pub(crate) fn take_text(&mut self, wanted: &str) -> bool {
        let rest = self.text.as_bytes().get(self.at..).unwrap_or_default();
        let there = rest.starts_with(wanted.as_bytes());
        self.at += if there { wanted.len() } else { 0 };
        there
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    fn space(&mut self) {
        while self.peek().is_some_and(is_space) {
            self.at += 1;
        }
    }

    /// Takes this byte, if it is the next one that isn't white space.
    pub(crate) fn take(&mut self, byte: u8) -> bool {
        self.space();
        let there = self.peek() == Some(byte);
        self.at += usize::from(there);
        there
    }

    /// The next value, not looked into.
    pub(crate) fn value(&mut self) -> Option<&'a str> {
        self.space();
        let start = self.at;
        let mut depth = 0usize;
        loop {
            let byte = self.peek();
            match byte {
                Some(b'"') => {
                    self.at = string_end(self.text, self.at).ok()?;
                    if depth == 0 {
                        break;
                    }
                    continue;
                }
                Some(b'{' | b'[') => depth += 1,
                Some(b'}' | b']') if depth > 0 => {
                    depth -= 1;
                    if depth == 0 {
                        self.at += 1;
                        break;
                    }
                }
                Some(b',' | b':' | b'}' | b']') | None if depth == 0 => break,
                Some(byte) if depth == 0 && is_space(byte) => break,
                None => return None,
                _ => {}
            }
            self.at += 1;
        }
        self.text.get(start..self.at).filter(|value| !value.is_empty())
    }

    /// The elements of an array that begins here.
    fn elements(&mut self) -> Option<Vec<&'a str>> {
        let mut found = Vec::new();
        if !self.take(b'[') {
            return None;
        }
        let mut more = !self.take(b']');
        while more {
            found.push(self.value()?);
            more = self.goes_on(b']')?;
        }
        Some(found)
    }

    pub(crate) fn end(&mut self) -> bool {
        self.space();
        self.at == self.text.len()
    }

    /// After an item: `Some(true)` when another one follows.
    pub(crate) fn goes_on(&mut self, close: u8) -> Option<bool> {
        if self.take(b',') { Some(true) } else { self.take(close).then_some(false) }
    }
}

/// A key, its value, and the elements of the value if it is an array.
pub(crate) type Listed<'a> = (Cow<'a, str>, &'a str, Option<Vec<&'a str>>);

/// The keys and values of an object; nothing when it isn't one.
pub(crate) fn fields(text: &str) -> Option<Vec<(Cow<'_, str>, &str)>> {
    each_field(text, |cursor, key| Some((key, cursor.value()?)))
}

/// The same with the elements of the values, in one go.
pub(crate) fn lists(text: &str) -> Option<Vec<Listed<'_>>> {
    each_field(text, |cursor, key| {
        cursor.space();
        if cursor.peek() != Some(b'[') {
            return Some((key, cursor.value()?, None));
        }
        let start = cursor.at;
        let elements = cursor.elements()?;
        Some((key, text.get(start..cursor.at)?, Some(elements)))
    })
}

/// The elements of an array; nothing when it isn't one.
pub(crate) fn elements(text: &str) -> Option<Vec<&str>> {
    let mut cursor = Cursor::new(text);
    let found = cursor.elements()?;
    cursor.end().then_some(found)
}

fn each_field<'a, T>(
    text: &'a str,
    mut read: impl FnMut(&mut Cursor<'a>, Cow<'a, str>) -> Option<T>,
) -> Option<Vec<T>> {
    let mut cursor = Cursor::new(text);
    let mut found = Vec::new();
    if !cursor.take(b'{') {
        return None;
    }
    let mut more = !cursor.take(b'}');
    while more {
        let key = unquote(cursor.value()?)?;
        if !cursor.take(b':') {
            return None;
        }
        found.push(read(&mut cursor, key)?);
        more = cursor.goes_on(b'}')?;
    }
    cursor.end().then_some(found)
}
