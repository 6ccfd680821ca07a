//! A whole text read beside a configuration that it has most items in common with: these are compared as bytes and
//! shared, not read again.

use std::collections::HashSet;
use std::iter::Peekable;
use std::sync::Arc;

use crate::config::Config;
use crate::document::{self as draft, Draft, Field, Part};
use crate::error::ConfigError;
use crate::item_list::{Item, List, Placed};
use crate::json::scanner::{self as scan, Cursor};
use crate::validation::build_on;

/// How deep a field may be nested by itself.
const FIELD_DEPTH: usize = scan::MAX_DEPTH - 1;
/// How deep an item of a list may be nested by itself.
const ITEM_DEPTH: usize = scan::MAX_DEPTH - 2;

impl Config {
    /// What [`Config::parse`] gives, or its fault. It costs little where the text has most of its items in common with
    /// this configuration, and the new configuration shares them.
    pub fn parse_sharing(&self, text: &[u8]) -> Result<Config, ConfigError> {
        let text_read = scan::text(text, scan::MAX_BYTES)?;
        match read(self.draft(), text_read) {
            Some(draft) => build_on(self, draft),
            None => Config::parse(text),
        }
    }
}

/// `None`: something is wrong, or is not as expected. The whole read says what it is.
fn read(base: &Draft, text: &str) -> Option<Draft> {
    let mut cursor = Cursor::new(text);
    let mut draft = Draft::default();
    cursor.take(b'{').then_some(())?;
    loop {
        let key = scan::unquote(cursor.value()?)?;
        if !cursor.take(b':') || draft.part(&key).is_some() {
            return None;
        }
        let part = field(&mut cursor, &key, base.part(&key))?;
        draft.fields.push(Field { key: key.as_ref().into(), part });
        if !cursor.goes_on(b'}')? {
            break;
        }
    }
    cursor.end().then_some(draft)
}

fn field(cursor: &mut Cursor<'_>, key: &str, base: Option<&Part>) -> Option<Part> {
    if let Some(Part::Items(base)) = base {
        return list(cursor, key, base).map(Part::Items);
    }
    let value = cursor.value()?;
    scan::guard(value, FIELD_DEPTH).ok()?;
    draft::part(key, value, scan::elements(value), key).ok()
}

fn list(cursor: &mut Cursor<'_>, key: &str, base: &List) -> Option<List> {
    let mut walk = Walk::new(base, base.placed_items());
    cursor.take(b'[').then_some(())?;
    let mut more = !cursor.take(b']');
    while more {
        match walk.next_old().filter(|old| cursor.take_text(&old.text)) {
            Some(_) => walk.keep(),
            None => {
                let value = cursor.value()?;
                scan::guard(value, ITEM_DEPTH).ok()?;
                walk.put(draft::items(key, vec![value], key).ok()?.pop()?);
            }
        }
        more = cursor.goes_on(b']')?;
    }
    walk.end()
}

/// A way along the items of an old list and of a new one at once.
struct Walk<'a, I: Iterator<Item = &'a Placed>> {
    base: &'a List,
    old: Peekable<I>,
    /// Old items that were not found where they were.
    passed: Vec<&'a Arc<Item>>,
    /// Items that were read, as they are not the next old ones.
    read: Vec<Arc<Item>>,
    /// All items of the new list.
    all: Vec<Arc<Item>>,
}

impl<'a, I: Iterator<Item = &'a Placed>> Walk<'a, I> {
    fn new(base: &'a List, old: I) -> Self {
        let all = Vec::with_capacity(base.len());
        Walk { base, old: old.peekable(), passed: Vec::new(), read: Vec::new(), all }
    }

    fn next_old(&mut self) -> Option<&'a Arc<Item>> {
        self.old.peek().map(|placed| &placed.item)
    }

    /// The next old item is the next new one.
    fn keep(&mut self) {
        self.all.extend(self.old.next().map(|placed| placed.item.clone()));
    }

    /// Another item is the next new one. If it is an old one, the way goes on behind it.
    fn put(&mut self, new: Arc<Item>) {
        let before = self.base.placed(new.name());
        let new = before.filter(|old| Item::same(&old.item, &new)).map_or(new, |old| old.item.clone());
        if let Some(before) = before {
            while let Some(old) = self.old.next_if(|old| old.position <= before.position) {
                self.passed.push(&old.item);
            }
        }
        self.read.push(new.clone());
        self.all.push(new);
    }

    /// The new list; `None` when a name is there twice.
    fn end(mut self) -> Option<List> {
        self.passed.extend(self.old.by_ref().map(|placed| &placed.item));
        let read: HashSet<&str> = self.read.iter().map(|item| item.name()).collect();
        let mut list = self.base.clone();
        for gone in self.passed.iter().filter(|old| !read.contains(old.name())) {
            list.withdraw(gone.name());
        }
        for item in &self.read {
            list.upsert(item.clone());
        }
        // New ones elsewhere than at the end, or old ones in another order: nothing but the items is shared.
        let in_place = list.len() == self.all.len()
            && list.iter().zip(&self.all).all(|(one, other)| Arc::ptr_eq(one, other));
        if in_place {
            return Some(list);
        }
        let mut names = HashSet::with_capacity(self.all.len());
        let all_differ = self.all.iter().all(|item| names.insert(item.name()));
        all_differ.then(|| List::new(self.all.clone()))
    }
}
