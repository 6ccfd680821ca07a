//! Builds a new list from unchanged items of an older list and newly parsed items.

use std::collections::HashSet;
use std::iter::Peekable;
use std::sync::Arc;

use crate::item::Item;
use crate::item_list::{ItemList, PositionedItem};

/// Iterates over the items of an older list while the items of a new list are read.
pub(super) struct ListMerge<'a, I: Iterator<Item = &'a PositionedItem>> {
    base: &'a ItemList,
    /// The older items that have not been reached yet.
    older: Peekable<I>,
    /// Older items that the iteration has passed without keeping them.
    skipped: Vec<&'a Arc<Item>>,
    /// New items that were parsed because they differ from the next older item.
    parsed: Vec<Arc<Item>>,
    /// All items of the new list.
    all: Vec<Arc<Item>>,
}

impl<'a, I: Iterator<Item = &'a PositionedItem>> ListMerge<'a, I> {
    pub(super) fn new(base: &'a ItemList, older: I) -> Self {
        let all = Vec::with_capacity(base.len());
        ListMerge { base, older: older.peekable(), skipped: Vec::new(), parsed: Vec::new(), all }
    }

    pub(super) fn next_older(&mut self) -> Option<&'a Arc<Item>> {
        self.older.peek().map(|positioned| &positioned.item)
    }

    /// Appends the next older item to the new list.
    pub(super) fn keep_next_older(&mut self) {
        self.all.extend(self.older.next().map(|positioned| positioned.item.clone()));
    }

    /// Appends a parsed item to the new list. If the older list has an item with its name, the iteration continues
    /// after that item.
    pub(super) fn push_parsed(&mut self, item: Arc<Item>) {
        let replaced = self.base.get_positioned(item.name());
        let unchanged = replaced.filter(|older| Item::has_same_text(&older.item, &item));
        let item = unchanged.map_or(item, |older| older.item.clone());
        if let Some(replaced) = replaced {
            while let Some(skipped) = self.older.next_if(|next| next.position <= replaced.position) {
                self.skipped.push(&skipped.item);
            }
        }
        self.parsed.push(item.clone());
        self.all.push(item);
    }

    /// The new list; `None` if two items have the same name.
    pub(super) fn finish(mut self) -> Option<ItemList> {
        self.skipped.extend(self.older.by_ref().map(|positioned| &positioned.item));
        let list = self.apply_as_changes();
        let has_expected_order = list.len() == self.all.len()
            && list.iter().zip(&self.all).all(|(one, other)| Arc::ptr_eq(one, other));
        if has_expected_order {
            return Some(list);
        }
        // New items were inserted before the end, or older ones reordered. Build a new list that shares only the items.
        let mut names = HashSet::with_capacity(self.all.len());
        let all_names_differ = self.all.iter().all(|item| names.insert(item.name()));
        all_names_differ.then(|| ItemList::new(self.all.clone()))
    }

    /// The older list without the skipped items and with the parsed ones upserted.
    fn apply_as_changes(&self) -> ItemList {
        let parsed_names: HashSet<&str> = self.parsed.iter().map(|item| item.name()).collect();
        let mut list = self.base.clone();
        for removed in self.skipped.iter().filter(|older| !parsed_names.contains(older.name())) {
            list.remove(removed.name());
        }
        for item in &self.parsed {
            list.upsert(item.clone());
        }
        list
    }
}
