//! A cursor over JSON text that extracts the texts of values without parsing them.

use super::string::find_string_end;

pub(super) fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\n' | b'\r' | b'\t')
}

/// A position in a text.
///
/// Only brackets and strings are examined to find the end of a value. The text must therefore have passed
/// [`check_structure`](super::structure::check_structure), or each value must pass it before it is parsed.
pub(crate) struct Cursor<'a> {
    text: &'a str,
    position: usize,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Cursor { text, position: 0 }
    }

    /// Consumes `expected` and returns true if the text continues with it.
    pub(crate) fn consume_text(&mut self, expected: &str) -> bool {
        let rest = self.text.as_bytes().get(self.position..).unwrap_or_default();
        let is_next = rest.starts_with(expected.as_bytes());
        self.position += if is_next { expected.len() } else { 0 };
        is_next
    }

    /// Consumes `expected` and returns true if it is the next byte that isn't white space.
    pub(crate) fn consume(&mut self, expected: u8) -> bool {
        let is_next = self.is_next(expected);
        self.position += usize::from(is_next);
        is_next
    }

    /// True if `expected` is the next byte that isn't white space.
    pub(super) fn is_next(&mut self, expected: u8) -> bool {
        self.skip_space();
        self.peek() == Some(expected)
    }

    /// True if only white space is left.
    pub(crate) fn is_at_end(&mut self) -> bool {
        self.skip_space();
        self.position == self.text.len()
    }

    /// Consumes the comma or the closing bracket after an element or a field. Returns `Some(true)` after a comma,
    /// `Some(false)` after `close`, and `None` if neither comes next.
    pub(crate) fn continues_until(&mut self, close: u8) -> Option<bool> {
        if self.consume(b',') { Some(true) } else { self.consume(close).then_some(false) }
    }

    /// Extracts the next value: a complete string, object or array, or anything else up to white space, a separator or
    /// a closing bracket. `None` if the value is empty or incomplete.
    pub(crate) fn next_value(&mut self) -> Option<&'a str> {
        self.skip_space();
        let start = self.position;
        let mut depth = 0usize;
        loop {
            let byte = self.peek();
            match byte {
                Some(b'"') => {
                    self.position = find_string_end(self.text, self.position).ok()?;
                    if depth == 0 {
                        break;
                    }
                    continue;
                }
                Some(b'{' | b'[') => depth += 1,
                Some(b'}' | b']') if depth > 0 => {
                    depth -= 1;
                    if depth == 0 {
                        self.position += 1;
                        break;
                    }
                }
                Some(b',' | b':' | b'}' | b']') | None if depth == 0 => break,
                Some(byte) if depth == 0 && is_space(byte) => break,
                None => return None,
                _ => {}
            }
            self.position += 1;
        }
        self.text.get(start..self.position).filter(|value| !value.is_empty())
    }

    /// Splits the next value, an array, into its elements. Returns the array's text and the elements.
    pub(super) fn next_array(&mut self) -> Option<(&'a str, Vec<&'a str>)> {
        self.skip_space();
        let start = self.position;
        if !self.consume(b'[') {
            return None;
        }
        let mut elements = Vec::new();
        let mut has_more = !self.consume(b']');
        while has_more {
            elements.push(self.next_value()?);
            has_more = self.continues_until(b']')?;
        }
        Some((self.text.get(start..self.position)?, elements))
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.position).copied()
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(is_space) {
            self.position += 1;
        }
    }
}
