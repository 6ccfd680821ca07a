//! A sorted sequence in chunks that clones share: a change copies the chunk that it touches, and no other one.

use std::cmp::Ordering;
use std::sync::Arc;

/// A chunk that grows beyond this is cut in two.
const CHUNK_MOST: usize = 64;
/// How full chunks are made when a whole sequence is given.
const CHUNK_FILL: usize = 48;

/// A sorted sequence. The order is the caller's: each call is given how an element compares with what is sought,
/// and all calls on one sequence must agree. No chunk is empty.
#[derive(Debug)]
pub(crate) struct Chunks<T> {
    chunks: Vec<Arc<Vec<T>>>,
    length: usize,
}

impl<T> Clone for Chunks<T> {
    fn clone(&self) -> Self {
        Chunks { chunks: self.chunks.clone(), length: self.length }
    }
}

impl<T> Default for Chunks<T> {
    fn default() -> Self {
        Chunks { chunks: Vec::new(), length: 0 }
    }
}

impl<T: Clone> Chunks<T> {
    /// Elements that are in order already.
    pub(crate) fn from_sorted(elements: Vec<T>) -> Self {
        let length = elements.len();
        let mut chunks = Vec::with_capacity(length.div_ceil(CHUNK_FILL));
        let mut elements = elements.into_iter().peekable();
        while elements.peek().is_some() {
            chunks.push(Arc::new(elements.by_ref().take(CHUNK_FILL).collect()));
        }
        Chunks { chunks, length }
    }

    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }

    pub(crate) fn last(&self) -> Option<&T> {
        self.chunks.last()?.last()
    }

    /// The element that compares as equal.
    pub(crate) fn get(&self, compare: impl Fn(&T) -> Ordering) -> Option<&T> {
        self.last_up_to(&compare).filter(|found| compare(found).is_eq())
    }

    /// The last element that does not compare as greater.
    pub(crate) fn last_up_to(&self, compare: impl Fn(&T) -> Ordering) -> Option<&T> {
        let chunk = self.chunks.get(self.chunk_for(&compare)?)?;
        chunk.get(chunk.partition_point(|element| compare(element).is_le()).checked_sub(1)?)
    }

    /// The last element that compares as less, and the first one that compares as greater.
    pub(crate) fn neighbours(&self, compare: impl Fn(&T) -> Ordering) -> (Option<&T>, Option<&T>) {
        let before = self.last_up_to(|element| match compare(element) {
            Ordering::Equal => Ordering::Greater,
            other => other,
        });
        let Some(place) = self.chunk_for(&compare) else { return (before, self.iter().next()) };
        let Some(chunk) = self.chunks.get(place) else { return (before, None) };
        let after = chunk.get(chunk.partition_point(|element| compare(element).is_le()));
        let next = || self.chunks.get(place + 1).and_then(|chunk| chunk.first());
        (before, after.or_else(next))
    }

    /// Puts an element in its place. The one that compares as equal is replaced and given back.
    pub(crate) fn insert(&mut self, element: T, compare: impl Fn(&T) -> Ordering) -> Option<T> {
        let place = self.chunk_for(&compare).unwrap_or(0);
        let Some(chunk) = self.chunks.get_mut(place) else {
            self.chunks.push(Arc::new(vec![element]));
            self.length += 1;
            return None;
        };
        let chunk = Arc::make_mut(chunk);
        let at = chunk.partition_point(|element| compare(element).is_lt());
        match chunk.get_mut(at) {
            Some(own) if compare(own).is_eq() => return Some(std::mem::replace(own, element)),
            _ => chunk.insert(at, element),
        }
        self.length += 1;
        if chunk.len() > CHUNK_MOST {
            // A sequence that only grows at its end keeps full chunks.
            let cut = if at + 1 == chunk.len() { CHUNK_FILL } else { chunk.len() / 2 };
            let rest = chunk.split_off(cut);
            self.chunks.insert(place + 1, Arc::new(rest));
        }
        None
    }

    /// Takes out the element that compares as equal.
    pub(crate) fn remove(&mut self, compare: impl Fn(&T) -> Ordering) -> Option<T> {
        let place = self.chunk_for(&compare)?;
        let chunk = self.chunks.get_mut(place)?;
        let at = chunk.binary_search_by(compare).ok()?;
        let chunk = Arc::make_mut(chunk);
        let found = chunk.remove(at);
        self.length -= 1;
        if chunk.is_empty() {
            self.chunks.remove(place);
        } else {
            self.join(place);
        }
        Some(found)
    }

    /// Puts a chunk that has become small together with the next one, so that removals leave no long list of
    /// small chunks.
    fn join(&mut self, place: usize) {
        let room = |chunk: Option<&Arc<Vec<T>>>| chunk.map_or(CHUNK_MOST, |chunk| chunk.len());
        if room(self.chunks.get(place)) + room(self.chunks.get(place + 1)) > CHUNK_FILL {
            return;
        }
        let next = self.chunks.remove(place + 1);
        if let Some(chunk) = self.chunks.get_mut(place) {
            Arc::make_mut(chunk).extend(next.iter().cloned());
        }
    }

    /// The chunk that holds what is sought, if any does: the last one whose first element isn't greater.
    fn chunk_for(&self, compare: impl Fn(&T) -> Ordering) -> Option<usize> {
        let first_is_le = |chunk: &Arc<Vec<T>>| chunk.first().is_some_and(|first| compare(first).is_le());
        self.chunks.partition_point(first_is_le).checked_sub(1)
    }

    /// Calls `found` with each element of only the one or only the other sequence, and with both of a pair that
    /// compares as equal but isn't shared. Chunks that are shared are passed over whole.
    pub(crate) fn compare<'a>(
        &'a self,
        other: &'a Chunks<T>,
        order: impl Fn(&T, &T) -> Ordering,
        mut found: impl FnMut(Option<&'a T>, Option<&'a T>),
    ) {
        let (mut own, mut others) = (Cursor::new(self), Cursor::new(other));
        loop {
            if own.at_same_chunk(&others) {
                own.next_chunk();
                others.next_chunk();
                continue;
            }
            let pair = (own.peek(), others.peek());
            let order = match pair {
                (None, None) => return,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(one), Some(two)) => order(one, two),
            };
            match order {
                Ordering::Less => found(pair.0, None),
                Ordering::Greater => found(None, pair.1),
                Ordering::Equal => found(pair.0, pair.1),
            }
            if order.is_le() {
                own.step();
            }
            if order.is_ge() {
                others.step();
            }
        }
    }
}

/// A place in a sequence.
struct Cursor<'a, T> {
    chunks: &'a [Arc<Vec<T>>],
    chunk: usize,
    at: usize,
}

impl<'a, T> Cursor<'a, T> {
    fn new(of: &'a Chunks<T>) -> Self {
        Cursor { chunks: &of.chunks, chunk: 0, at: 0 }
    }

    fn peek(&self) -> Option<&'a T> {
        self.chunks.get(self.chunk)?.get(self.at)
    }

    fn step(&mut self) {
        self.at += 1;
        if self.chunks.get(self.chunk).is_some_and(|chunk| self.at >= chunk.len()) {
            self.next_chunk();
        }
    }

    fn next_chunk(&mut self) {
        self.chunk += 1;
        self.at = 0;
    }

    fn at_same_chunk(&self, other: &Self) -> bool {
        let (Some(own), Some(others)) = (self.chunks.get(self.chunk), other.chunks.get(other.chunk)) else {
            return false;
        };
        self.at == 0 && other.at == 0 && Arc::ptr_eq(own, others)
    }
}
