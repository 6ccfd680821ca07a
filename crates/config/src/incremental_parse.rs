//! A whole text, parsed beside a configuration with which it has most items in common: these are compared as bytes and
//! shared instead of parsed again.

use std::collections::HashSet;
use std::iter::Peekable;
use std::sync::Arc;

use crate::config::Config;
use crate::document::{Document, FieldValue};
use crate::document_parser::{parse_field_value, parse_items};
use crate::error::ConfigError;
use crate::item::Item;
use crate::item_list::{ItemList, PositionedItem};
use crate::json::containers::split_array;
use crate::json::cursor::Cursor;
use crate::json::string::unquote;
use crate::json::structure::{MAX_BYTES, MAX_DEPTH, check_structure, decode_utf8};
use crate::validation::validate_changes;

/// How deep the value of a top-level field may be nested.
const MAX_FIELD_DEPTH: usize = MAX_DEPTH - 1;
/// How deep an item of a list may be nested.
const MAX_ITEM_DEPTH: usize = MAX_DEPTH - 2;

impl Config {
    /// Parses a whole configuration as [`Config::parse`] does, with the same result. It costs little where the text has
    /// most of its items in common with this configuration, and the new configuration shares them.
    ///
    /// # Errors
    ///
    /// As [`Config::parse`].
    pub fn parse_sharing(&self, text: &[u8]) -> Result<Config, ConfigError> {
        match parse_document_sharing(self.document(), decode_utf8(text, MAX_BYTES)?) {
            Some(document) => validate_changes(self, document),
            None => Config::parse(text),
        }
    }
}

/// `None` when something is wrong, or not as expected; the whole text must then be parsed to say what it is.
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
        if merge.next_old().is_some_and(|old| cursor.consume_text(old.text())) {
            merge.keep_next_old();
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

/// Walks along the items of an old list while those of a new one are read.
struct ListMerge<'a, I: Iterator<Item = &'a PositionedItem>> {
    base: &'a ItemList,
    /// The old items that are still to come.
    old: Peekable<I>,
    /// Old items that were not found where they had been.
    skipped: Vec<&'a Arc<Item>>,
    /// New items that were parsed, as they were not the next old ones.
    parsed: Vec<Arc<Item>>,
    /// All items of the new list.
    all: Vec<Arc<Item>>,
}

impl<'a, I: Iterator<Item = &'a PositionedItem>> ListMerge<'a, I> {
    fn new(base: &'a ItemList, old: I) -> Self {
        let all = Vec::with_capacity(base.len());
        ListMerge { base, old: old.peekable(), skipped: Vec::new(), parsed: Vec::new(), all }
    }

    fn next_old(&mut self) -> Option<&'a Arc<Item>> {
        self.old.peek().map(|positioned| &positioned.item)
    }

    /// Takes the next old item as the next new one.
    fn keep_next_old(&mut self) {
        self.all.extend(self.old.next().map(|positioned| positioned.item.clone()));
    }

    /// Takes another item as the next new one. If it is an old one, the walk goes on after it.
    fn push_parsed(&mut self, item: Arc<Item>) {
        let old = self.base.get_positioned(item.name());
        let unchanged = old.filter(|old| Item::has_same_text(&old.item, &item));
        let item = unchanged.map_or(item, |old| old.item.clone());
        if let Some(old) = old {
            while let Some(skipped) = self.old.next_if(|next| next.position <= old.position) {
                self.skipped.push(&skipped.item);
            }
        }
        self.parsed.push(item.clone());
        self.all.push(item);
    }

    /// The new list; `None` when two items have the same name.
    fn finish(mut self) -> Option<ItemList> {
        self.skipped.extend(self.old.by_ref().map(|positioned| &positioned.item));
        let list = self.apply_as_changes();
        let has_expected_order = list.len() == self.all.len()
            && list.iter().zip(&self.all).all(|(one, other)| Arc::ptr_eq(one, other));
        if has_expected_order {
            return Some(list);
        }
        // New items elsewhere than at the end, or old ones in another order: only the items themselves are shared.
        let mut names = HashSet::with_capacity(self.all.len());
        let all_names_differ = self.all.iter().all(|item| names.insert(item.name()));
        all_names_differ.then(|| ItemList::new(self.all.clone()))
    }

    /// The old list with the skipped items removed and the parsed ones put in.
    fn apply_as_changes(&self) -> ItemList {
        let parsed_names: HashSet<&str> = self.parsed.iter().map(|item| item.name()).collect();
        let mut list = self.base.clone();
        for removed in self.skipped.iter().filter(|old| !parsed_names.contains(old.name())) {
            list.remove(removed.name());
        }
        for item in &self.parsed {
            list.upsert(item.clone());
        }
        list
    }
}
