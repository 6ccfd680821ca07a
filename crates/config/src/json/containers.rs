//! Splits JSON objects and arrays into the texts of their values.

use std::borrow::Cow;

use super::cursor::Cursor;
use super::string::unquote;

/// A field of an object with its unparsed value.
pub(crate) struct RawField<'a> {
    pub(crate) key: Cow<'a, str>,
    pub(crate) value: &'a str,
}

/// A field of an object with its unparsed value, which is also split into elements if it is an array.
pub(crate) struct RawListField<'a> {
    pub(crate) key: Cow<'a, str>,
    pub(crate) value: &'a str,
    pub(crate) elements: Option<Vec<&'a str>>,
}

/// Splits an object into its fields; `None` if the text is not an object.
pub(crate) fn split_object(text: &str) -> Option<Vec<RawField<'_>>> {
    split_fields(text, |cursor, key| Some(RawField { key, value: cursor.next_value()? }))
}

/// Splits an object into its fields, and arrays in them into their elements, in one pass; `None` if the text is not an
/// object.
pub(crate) fn split_object_of_lists(text: &str) -> Option<Vec<RawListField<'_>>> {
    split_fields(text, |cursor, key| {
        if cursor.is_next(b'[') {
            let (value, elements) = cursor.next_array()?;
            Some(RawListField { key, value, elements: Some(elements) })
        } else {
            Some(RawListField { key, value: cursor.next_value()?, elements: None })
        }
    })
}

/// Splits an array into its elements; `None` if the text is not an array.
pub(crate) fn split_array(text: &str) -> Option<Vec<&str>> {
    let mut cursor = Cursor::new(text);
    let (_, elements) = cursor.next_array()?;
    cursor.is_at_end().then_some(elements)
}

fn split_fields<'a, T>(
    text: &'a str,
    mut take_field: impl FnMut(&mut Cursor<'a>, Cow<'a, str>) -> Option<T>,
) -> Option<Vec<T>> {
    let mut cursor = Cursor::new(text);
    let mut fields = Vec::new();
    if !cursor.consume(b'{') {
        return None;
    }
    let mut has_more = !cursor.consume(b'}');
    while has_more {
        let key = unquote(cursor.next_value()?)?;
        if !cursor.consume(b':') {
            return None;
        }
        fields.push(take_field(&mut cursor, key)?);
        has_more = cursor.continues_until(b'}')?;
    }
    cursor.is_at_end().then_some(fields)
}
