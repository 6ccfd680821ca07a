//! A list of named items that is changed item by item: in the operator's order, and by name.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use crate::chunked_sequence::Chunks;
use crate::route::Route;
use crate::service::Service;
use crate::stable_hash as hash;

/// An item of a list, as text and, where it means something here, as read.
#[derive(Debug)]
pub(crate) struct Item {
    pub(crate) text: Box<str>,
    pub(crate) meaning: Meaning,
    hash: u64,
}

/// What an item was read as.
#[derive(Debug)]
pub(crate) enum Meaning {
    Route(Arc<Route>),
    Service(Arc<Service>),
    /// An item of a list that means nothing here, with its name.
    Unknown(Box<str>),
}

impl Item {
    pub(crate) fn new(text: &str, meaning: Meaning) -> Arc<Self> {
        Arc::new(Item { text: text.into(), meaning, hash: hash::text(text) })
    }

    pub(crate) fn name(&self) -> &str {
        match &self.meaning {
            Meaning::Route(route) => &route.name,
            Meaning::Service(service) => &service.name,
            Meaning::Unknown(name) => name,
        }
    }

    /// Of the same text.
    pub(crate) fn same(one: &Arc<Item>, other: &Arc<Item>) -> bool {
        Arc::ptr_eq(one, other) || (one.hash == other.hash && one.text == other.text)
    }
}

/// An item with its position, which it keeps for as long as it stays in the list. Positions rise, with gaps.
#[derive(Debug, Clone)]
pub(crate) struct Placed {
    pub(crate) position: u64,
    pub(crate) item: Arc<Item>,
}

/// The items of a list, each with a name of its own. Clones share what isn't changed.
#[derive(Debug, Clone)]
pub(crate) struct List {
    order: Chunks<Placed>,
    names: Chunks<Placed>,
    /// The texts' bytes together.
    bytes: usize,
    /// The sum over all pairs of neighbours, see [`hash::pair`].
    hash: u64,
}

impl List {
    /// Items in order, each with a name of its own.
    pub(crate) fn new(items: Vec<Arc<Item>>) -> Self {
        let bytes = items.iter().map(|item| item.text.len()).sum();
        let order: Vec<Placed> = (0..).zip(items).map(|(position, item)| Placed { position, item }).collect();
        let hashes = order.iter().map(|placed| placed.item.hash);
        let after = hashes.clone().map(Some).chain([None]);
        let before = [None].into_iter().chain(hashes.map(Some));
        let hash = before.zip(after).fold(0_u64, |sum, (one, two)| sum.wrapping_add(hash::pair(one, two)));
        let mut names = order.clone();
        names.sort_by(|one, two| one.item.name().cmp(two.item.name()));
        List { order: Chunks::from_sorted(order), names: Chunks::from_sorted(names), bytes, hash }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// The items in the operator's order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.order.iter().map(|placed| &placed.item)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Arc<Item>> {
        self.placed(name).map(|placed| &placed.item)
    }

    /// The items in the operator's order, with their positions.
    pub(crate) fn placed_items(&self) -> impl Iterator<Item = &Placed> {
        self.order.iter()
    }

    pub(crate) fn placed(&self, name: &str) -> Option<&Placed> {
        self.names.get(|own| own.item.name().cmp(name))
    }

    /// How long the list is as text.
    pub(crate) fn text_length(&self) -> usize {
        2 + self.bytes + self.len().saturating_sub(1)
    }

    /// Adds the list's text.
    pub(crate) fn write(&self, to: &mut String) {
        to.push('[');
        for (at, item) in self.iter().enumerate() {
            if at > 0 {
                to.push(',');
            }
            to.push_str(&item.text);
        }
        to.push(']');
    }

    /// Over the texts of all items in their order; it does not depend on how the list came about.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Puts an item in the place of the one that has its name, else at the end.
    pub(crate) fn upsert(&mut self, item: Arc<Item>) {
        let kept = self.placed(item.name()).map(|placed| placed.position);
        let next = self.order.last().map_or(0, |last| last.position + 1);
        let position = kept.unwrap_or(next);
        let placed = Placed { position, item };
        let (hash, bytes) = (placed.item.hash, placed.item.text.len());
        self.names.insert(placed.clone(), |own| own.item.name().cmp(placed.item.name()));
        let old = self.order.insert(placed, by_position(position));
        let (before, after) = self.neighbours(position);
        self.bytes += bytes;
        self.unlink(before, after, old.as_ref());
        self.hash = self.hash.wrapping_add(hash::pair(before, Some(hash)));
        self.hash = self.hash.wrapping_add(hash::pair(Some(hash), after));
    }

    /// Takes an item out; a name that isn't there doesn't matter.
    pub(crate) fn withdraw(&mut self, name: &str) {
        let Some(gone) = self.names.remove(|own| own.item.name().cmp(name)) else { return };
        self.order.remove(by_position(gone.position));
        let (before, after) = self.neighbours(gone.position);
        self.unlink(before, after, Some(&gone));
        self.hash = self.hash.wrapping_add(hash::pair(before, after));
    }

    /// The hashes of the items around a position.
    fn neighbours(&self, position: u64) -> (Option<u64>, Option<u64>) {
        let (before, after) = self.order.neighbours(by_position(position));
        (before.map(|placed| placed.item.hash), after.map(|placed| placed.item.hash))
    }

    /// Takes the pairs between two neighbours, with the item that was between them, out of the sums.
    fn unlink(&mut self, before: Option<u64>, after: Option<u64>, old: Option<&Placed>) {
        match old {
            Some(old) => {
                self.bytes -= old.item.text.len();
                self.hash = self.hash.wrapping_sub(hash::pair(before, Some(old.item.hash)));
                self.hash = self.hash.wrapping_sub(hash::pair(Some(old.item.hash), after));
            }
            None => self.hash = self.hash.wrapping_sub(hash::pair(before, after)),
        }
    }

    /// The same items in the order of their names in `names`; `None` unless these are just the names.
    pub(crate) fn arranged(&self, names: &[impl AsRef<str>]) -> Option<List> {
        let places: HashMap<&str, usize> =
            names.iter().enumerate().map(|(at, name)| (name.as_ref(), at)).collect();
        if places.len() != self.len() {
            return None;
        }
        let items: Option<Vec<_>> = names.iter().map(|name| self.get(name.as_ref()).cloned()).collect();
        items.filter(|items| items.len() == self.len()).map(List::new)
    }

    /// What differs from a newer list: calls `found` with the item before and the item after, by name.
    pub(crate) fn compare<'a>(
        &'a self,
        newer: &'a List,
        mut found: impl FnMut(Option<&'a Arc<Item>>, Option<&'a Arc<Item>>),
    ) {
        let order = |one: &Placed, two: &Placed| match Arc::ptr_eq(&one.item, &two.item) {
            true => Ordering::Equal,
            false => one.item.name().cmp(two.item.name()),
        };
        self.names.compare(&newer.names, order, |old, new| match (old, new) {
            (Some(old), Some(new)) if Item::same(&old.item, &new.item) => {}
            (old, new) => found(old.map(|placed| &placed.item), new.map(|placed| &placed.item)),
        });
    }

    /// Sorts items of this list into its order.
    pub(crate) fn sort_by_order(&self, items: &mut [&Arc<Item>]) {
        items.sort_by_cached_key(|item| self.placed(item.name()).map(|placed| placed.position));
    }

    /// Whether the order follows from the older list by itself: its items in their places, new ones behind them.
    pub(crate) fn follows_order_of(&self, older: &List) -> bool {
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

fn by_position(position: u64) -> impl Fn(&Placed) -> Ordering {
    move |placed| placed.position.cmp(&position)
}
