//! Reads a complete text that has most items in common with an existing configuration. Equal items are found by
//! comparing bytes, and are shared instead of parsed again.

use super::document::parse_field_value;
use super::items::parse_items;
use super::list_merge::ListMerge;
use crate::config::Config;
use crate::document::{Document, FieldValue};
use crate::error::ConfigError;
use crate::item_list::ItemList;
use crate::json::containers::split_array;
use crate::json::cursor::Cursor;
use crate::json::string::unquote;
use crate::json::structure::{MAX_BYTES, MAX_DEPTH, check_structure, decode_utf8};
use crate::validation::validate_changes;

/// The maximum nesting depth of the value of a top-level field.
const MAX_FIELD_DEPTH: usize = MAX_DEPTH - 1;
/// The maximum nesting depth of an item of a list.
const MAX_ITEM_DEPTH: usize = MAX_DEPTH - 2;

impl Config {
    /// Parses a complete configuration with the same result as [`Config::parse`]. This is cheap if the text has most of
    /// its items in common with this configuration; the new configuration shares them.
    ///
    /// # Errors
    ///
    /// The errors of [`Config::parse`].
    pub fn parse_sharing(&self, text: &[u8]) -> Result<Config, ConfigError> {
        match parse_document_sharing(self.document(), decode_utf8(text, MAX_BYTES)?) {
            Some(document) => validate_changes(self, document),
            None => Config::parse(text),
        }
    }
}

/// Parses a document that shares items with `base`; `None` if anything is invalid or not handled here, such as an empty
/// object. A full parse then accepts the text or finds the error.
fn parse_document_sharing(base: &Document, text: &str) -> Option<Document> {
    let mut cursor = Cursor::new(text);
    let mut document = Document::default();
    if !cursor.consume(b'{') {
        return None;
    }
    loop {
        let key = unquote(cursor.next_value()?)?;
        if !cursor.consume(b':') || document.get(&key).is_some() {
            return None;
        }
        let value = parse_value_sharing(&mut cursor, &key, base.get(&key))?;
        document.push(&key, value);
        if !cursor.continues_until(b'}')? {
            break;
        }
    }
    cursor.is_at_end().then_some(document)
}

fn parse_value_sharing(cursor: &mut Cursor<'_>, key: &str, base: Option<&FieldValue>) -> Option<FieldValue> {
    if let Some(FieldValue::Items(base)) = base {
        return parse_list_sharing(cursor, key, base).map(FieldValue::Items);
    }
    let value = cursor.next_value()?;
    check_structure(value, MAX_FIELD_DEPTH).ok()?;
    parse_field_value(key, value, split_array(value), key).ok()
}

fn parse_list_sharing(cursor: &mut Cursor<'_>, key: &str, base: &ItemList) -> Option<ItemList> {
    let mut merge = ListMerge::new(base, base.positioned_items());
    if !cursor.consume(b'[') {
        return None;
    }
    let mut has_more = !cursor.consume(b']');
    while has_more {
        if merge.next_older().is_some_and(|older| cursor.consume_text(older.text())) {
            merge.keep_next_older();
        } else {
            let value = cursor.next_value()?;
            check_structure(value, MAX_ITEM_DEPTH).ok()?;
            let item = parse_items(key, vec![value], key).ok()?.pop()?;
            merge.push_parsed(item);
        }
        has_more = cursor.continues_until(b']')?;
    }
    merge.finish()
}
