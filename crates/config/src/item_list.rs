//! A list of named items, in the operator's order and indexed by name, that is changed item by item.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use crate::chunked_sequence::ChunkedSequence;
use crate::item::Item;
use crate::stable_hash::hash_pair;

/// An item with its position, which does not change while the item is in the list. Positions ascend, with gaps.
#[derive(Debug, Clone)]
pub(crate) struct PositionedItem {
    pub(crate) position: u64,
    pub(crate) item: Arc<Item>,
}

/// The items of a list with distinct names. Clones share unchanged parts.
#[derive(Debug, Clone)]
pub(crate) struct ItemList {
    by_position: ChunkedSequence<PositionedItem>,
    /// The same items, sorted by name.
    by_name: ChunkedSequence<PositionedItem>,
    /// The sum of the lengths of the items' texts.
    item_bytes: usize,
    /// The wrapping sum of [`hash_pair`] over all pairs of neighbours, the ends of the list included.
    hash: u64,
}

impl ItemList {
    /// Builds a list from items in order. Their names must be distinct.
    pub(crate) fn new(items: Vec<Arc<Item>>) -> Self {
        let item_bytes = items.iter().map(|item| item.text().len()).sum();
        let hash = hash_neighbours(&items);
        let positioned = |(position, item)| PositionedItem { position, item };
        let by_position: Vec<PositionedItem> = (0..).zip(items).map(positioned).collect();
        let mut by_name = by_position.clone();
        by_name.sort_by(|one, other| one.item.name().cmp(other.item.name()));
        ItemList {
            by_position: ChunkedSequence::from_sorted(by_position),
            by_name: ChunkedSequence::from_sorted(by_name),
            item_bytes,
            hash,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_position.len()
    }

    /// The items in the operator's order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.by_position.iter().map(|positioned| &positioned.item)
    }

    /// The items in the operator's order, with their positions.
    pub(crate) fn positioned_items(&self) -> impl Iterator<Item = &PositionedItem> {
        self.by_position.iter()
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Arc<Item>> {
        self.get_positioned(name).map(|positioned| &positioned.item)
    }

    pub(crate) fn get_positioned(&self, name: &str) -> Option<&PositionedItem> {
        self.by_name.get(compare_name(name))
    }

    /// The length of the list as JSON, in bytes.
    pub(crate) fn json_length(&self) -> usize {
        let brackets = 2;
        let commas = self.len().saturating_sub(1);
        brackets + self.item_bytes + commas
    }

    /// Appends the list as JSON.
    pub(crate) fn write_json(&self, output: &mut String) {
        output.push('[');
        for (index, item) in self.iter().enumerate() {
            if index > 0 {
                output.push(',');
            }
            output.push_str(item.text());
        }
        output.push(']');
    }

    /// The hash of the texts of all items in their order. It does not depend on the changes that led to the list.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Replaces the item with the same name in its position, or appends the item if there is none.
    pub(crate) fn upsert(&mut self, item: Arc<Item>) {
        let current_position = self.get_positioned(item.name()).map(|positioned| positioned.position);
        let next_position = self.by_position.last().map_or(0, |last| last.position + 1);
        let position = current_position.unwrap_or(next_position);
        let new = PositionedItem { position, item };
        let (hash, bytes) = (new.item.hash(), new.item.text().len());
        self.by_name.insert(new.clone(), compare_name(new.item.name()));
        let old = self.by_position.insert(new, compare_position(position));
        let (before, after) = self.neighbour_hashes(position);
        self.item_bytes += bytes;
        self.remove_from_sums(before, after, old.as_ref());
        self.hash = self.hash.wrapping_add(hash_pair(before, Some(hash)));
        self.hash = self.hash.wrapping_add(hash_pair(Some(hash), after));
    }

    /// Removes an item; an unknown name is ignored.
    pub(crate) fn remove(&mut self, name: &str) {
        let Some(removed) = self.by_name.remove(compare_name(name)) else { return };
        self.by_position.remove(compare_position(removed.position));
        let (before, after) = self.neighbour_hashes(removed.position);
        self.remove_from_sums(before, after, Some(&removed));
        self.hash = self.hash.wrapping_add(hash_pair(before, after));
    }

    /// The hashes of the items before and after a position.
    fn neighbour_hashes(&self, position: u64) -> (Option<u64>, Option<u64>) {
        let (before, after) = self.by_position.neighbours(compare_position(position));
        (before.map(|positioned| positioned.item.hash()), after.map(|positioned| positioned.item.hash()))
    }

    /// Updates both sums for a change at one position. Subtracts from `hash` the pairs that are no longer neighbours,
    /// and from `item_bytes` the length of the item that was in the position, if any. `before` and `after` are the
    /// hashes of the adjacent items.
    fn remove_from_sums(&mut self, before: Option<u64>, after: Option<u64>, old: Option<&PositionedItem>) {
        match old.map(|old| &old.item) {
            Some(old) => {
                self.item_bytes -= old.text().len();
                self.hash = self.hash.wrapping_sub(hash_pair(before, Some(old.hash())));
                self.hash = self.hash.wrapping_sub(hash_pair(Some(old.hash()), after));
            }
            None => self.hash = self.hash.wrapping_sub(hash_pair(before, after)),
        }
    }

    /// The same items in the order of `names`; `None` if `names` are not exactly the names of the items.
    pub(crate) fn reordered(&self, names: &[impl AsRef<str>]) -> Option<ItemList> {
        let indices: HashMap<&str, usize> =
            names.iter().enumerate().map(|(index, name)| (name.as_ref(), index)).collect();
        if indices.len() != self.len() {
            return None;
        }
        let items: Option<Vec<_>> = names.iter().map(|name| self.get(name.as_ref()).cloned()).collect();
        items.filter(|items| items.len() == self.len()).map(ItemList::new)
    }

    /// Compares this list with a newer one. Calls `on_difference` with the older and the newer item of each name whose
    /// items differ; an item that is missing in one of the lists is `None`.
    pub(crate) fn compare<'a>(
        &'a self,
        newer: &'a ItemList,
        mut on_difference: impl FnMut(Option<&'a Arc<Item>>, Option<&'a Arc<Item>>),
    ) {
        let order = |one: &PositionedItem, other: &PositionedItem| {
            if Arc::ptr_eq(&one.item, &other.item) {
                Ordering::Equal
            } else {
                one.item.name().cmp(other.item.name())
            }
        };
        self.by_name.compare(&newer.by_name, order, |old, new| match (old, new) {
            (Some(old), Some(new)) if Item::has_same_text(&old.item, &new.item) => {}
            (old, new) => {
                on_difference(old.map(|positioned| &positioned.item), new.map(|positioned| &positioned.item));
            }
        });
    }

    /// Sorts items of this list into the order of the list.
    pub(crate) fn sort_by_position(&self, items: &mut [&Arc<Item>]) {
        items.sort_by_cached_key(|item| {
            self.get_positioned(item.name()).map(|positioned| positioned.position)
        });
    }

    /// True if removals from the older list and upserts into it result in the order of this list, that is, if the
    /// remaining older items keep their order and the new ones follow them.
    pub(crate) fn has_upsert_order(&self, older: &ItemList) -> bool {
        let mut own = self.iter().peekable();
        for old in older.iter() {
            let stays = own.next_if(|new| Arc::ptr_eq(new, old) || new.name() == old.name()).is_some();
            if !stays && self.get(old.name()).is_some() {
                return false;
            }
        }
        own.all(|new| older.get(new.name()).is_none())
    }
}

/// The sum over all pairs of neighbours, the ends of the list included.
fn hash_neighbours(items: &[Arc<Item>]) -> u64 {
    let hashes = items.iter().map(|item| Some(item.hash()));
    let after = hashes.clone().chain([None]);
    let before = [None].into_iter().chain(hashes);
    let pairs = before.zip(after);
    pairs.fold(0_u64, |sum, (before, after)| sum.wrapping_add(hash_pair(before, after)))
}

fn compare_name(name: &str) -> impl Fn(&PositionedItem) -> Ordering {
    move |positioned| positioned.item.name().cmp(name)
}

fn compare_position(position: u64) -> impl Fn(&PositionedItem) -> Ordering {
    move |positioned| positioned.position.cmp(&position)
}
