//! A sorted sequence with structural sharing: clones share the chunks of elements, and a change copies only the chunk
//! that it affects.

use std::cmp::Ordering;
use std::sync::Arc;

/// A chunk that grows longer than this is split.
const MAX_CHUNK_LENGTH: usize = 64;
/// The length of the chunks when a sequence is built from sorted elements, of a chunk that is split after an append,
/// and the maximum length of a merged chunk.
const INITIAL_CHUNK_LENGTH: usize = 48;

/// A sorted sequence without equal elements. The caller defines the order: each call takes a function that compares an
/// element with the sought one, and all calls on a sequence must use the same order. No chunk is empty.
#[derive(Debug)]
pub(crate) struct ChunkedSequence<T> {
    chunks: Vec<Arc<Vec<T>>>,
    length: usize,
}

impl<T> Clone for ChunkedSequence<T> {
    fn clone(&self) -> Self {
        ChunkedSequence { chunks: self.chunks.clone(), length: self.length }
    }
}

impl<T> Default for ChunkedSequence<T> {
    fn default() -> Self {
        ChunkedSequence { chunks: Vec::new(), length: 0 }
    }
}

impl<T: Clone> ChunkedSequence<T> {
    /// Builds a sequence of elements that are sorted already.
    pub(crate) fn from_sorted(elements: Vec<T>) -> Self {
        let length = elements.len();
        let mut chunks = Vec::with_capacity(length.div_ceil(INITIAL_CHUNK_LENGTH));
        let mut elements = elements.into_iter().peekable();
        while elements.peek().is_some() {
            chunks.push(Arc::new(elements.by_ref().take(INITIAL_CHUNK_LENGTH).collect()));
        }
        ChunkedSequence { chunks, length }
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

    /// Finds the element that compares as equal.
    pub(crate) fn get(&self, compare: impl Fn(&T) -> Ordering) -> Option<&T> {
        self.last_not_greater(&compare).filter(|found| compare(found).is_eq())
    }

    /// Finds the last element that does not compare as greater.
    pub(crate) fn last_not_greater(&self, compare: impl Fn(&T) -> Ordering) -> Option<&T> {
        let chunk = self.chunks.get(self.chunk_index_for(&compare)?)?;
        chunk.get(chunk.partition_point(|element| compare(element).is_le()).checked_sub(1)?)
    }

    /// Finds the last element that compares as less and the first element that compares as greater.
    pub(crate) fn neighbours(&self, compare: impl Fn(&T) -> Ordering) -> (Option<&T>, Option<&T>) {
        let before = self.last_not_greater(|element| match compare(element) {
            Ordering::Equal => Ordering::Greater,
            other => other,
        });
        let Some(chunk_index) = self.chunk_index_for(&compare) else { return (before, self.iter().next()) };
        let Some(chunk) = self.chunks.get(chunk_index) else { return (before, None) };
        let after = chunk.get(chunk.partition_point(|element| compare(element).is_le()));
        let first_of_next = || self.chunks.get(chunk_index + 1).and_then(|chunk| chunk.first());
        (before, after.or_else(first_of_next))
    }

    /// Inserts an element. An element that compares as equal is replaced and returned.
    pub(crate) fn insert(&mut self, element: T, compare: impl Fn(&T) -> Ordering) -> Option<T> {
        let chunk_index = self.chunk_index_for(&compare).unwrap_or(0);
        let Some(chunk) = self.chunks.get_mut(chunk_index) else {
            self.chunks.push(Arc::new(vec![element]));
            self.length += 1;
            return None;
        };
        let chunk = Arc::make_mut(chunk);
        let index = chunk.partition_point(|element| compare(element).is_lt());
        match chunk.get_mut(index) {
            Some(existing) if compare(existing).is_eq() => return Some(std::mem::replace(existing, element)),
            _ => chunk.insert(index, element),
        }
        self.length += 1;
        if chunk.len() > MAX_CHUNK_LENGTH {
            // A chunk that grows at its end keeps most of its elements, so that chunks stay long if elements are only
            // appended.
            let is_at_end = index + 1 == chunk.len();
            let split_index = if is_at_end { INITIAL_CHUNK_LENGTH } else { chunk.len() / 2 };
            let rest = chunk.split_off(split_index);
            self.chunks.insert(chunk_index + 1, Arc::new(rest));
        }
        None
    }

    /// Removes the element that compares as equal.
    pub(crate) fn remove(&mut self, compare: impl Fn(&T) -> Ordering) -> Option<T> {
        let chunk_index = self.chunk_index_for(&compare)?;
        let chunk = self.chunks.get_mut(chunk_index)?;
        let index = chunk.binary_search_by(compare).ok()?;
        let chunk = Arc::make_mut(chunk);
        let removed = chunk.remove(index);
        self.length -= 1;
        if chunk.is_empty() {
            self.chunks.remove(chunk_index);
        } else {
            self.merge_with_next(chunk_index);
        }
        Some(removed)
    }

    /// Merges a chunk with the next one if both together have at most [`INITIAL_CHUNK_LENGTH`] elements, so that
    /// removals don't leave many small chunks.
    fn merge_with_next(&mut self, chunk_index: usize) {
        // A chunk that does not exist counts as full, so that nothing is merged with it.
        let length_of = |index: usize| self.chunks.get(index).map_or(MAX_CHUNK_LENGTH, |chunk| chunk.len());
        if length_of(chunk_index) + length_of(chunk_index + 1) > INITIAL_CHUNK_LENGTH {
            return;
        }
        let next = self.chunks.remove(chunk_index + 1);
        if let Some(chunk) = self.chunks.get_mut(chunk_index) {
            Arc::make_mut(chunk).extend(next.iter().cloned());
        }
    }

    /// The index of the only chunk that can contain the sought element: the last one whose first element isn't greater.
    fn chunk_index_for(&self, compare: impl Fn(&T) -> Ordering) -> Option<usize> {
        let first_is_le = |chunk: &Arc<Vec<T>>| chunk.first().is_some_and(|first| compare(first).is_le());
        self.chunks.partition_point(first_is_le).checked_sub(1)
    }

    /// Compares two sequences. Calls `on_difference` with each element that only one of them contains, and with both
    /// elements of each pair that compares as equal but may differ otherwise. Shared chunks are skipped without
    /// comparing their elements.
    pub(crate) fn compare<'a>(
        &'a self,
        other: &'a ChunkedSequence<T>,
        compare_elements: impl Fn(&T, &T) -> Ordering,
        mut on_difference: impl FnMut(Option<&'a T>, Option<&'a T>),
    ) {
        let mut own = Cursor::new(self);
        let mut others = Cursor::new(other);
        loop {
            if own.is_at_same_chunk(&others) {
                own.skip_chunk();
                others.skip_chunk();
                continue;
            }
            let pair = (own.peek(), others.peek());
            let order = match pair {
                (None, None) => return,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(one), Some(other)) => compare_elements(one, other),
            };
            match order {
                Ordering::Less => on_difference(pair.0, None),
                Ordering::Greater => on_difference(None, pair.1),
                Ordering::Equal => on_difference(pair.0, pair.1),
            }
            if order.is_le() {
                own.advance();
            }
            if order.is_ge() {
                others.advance();
            }
        }
    }
}

/// A position in a sequence.
struct Cursor<'a, T> {
    chunks: &'a [Arc<Vec<T>>],
    chunk_index: usize,
    /// The index of the element within the chunk; 0 after the last chunk.
    index: usize,
}

impl<'a, T> Cursor<'a, T> {
    fn new(sequence: &'a ChunkedSequence<T>) -> Self {
        Cursor { chunks: &sequence.chunks, chunk_index: 0, index: 0 }
    }

    fn peek(&self) -> Option<&'a T> {
        self.chunks.get(self.chunk_index)?.get(self.index)
    }

    fn advance(&mut self) {
        self.index += 1;
        if self.chunks.get(self.chunk_index).is_some_and(|chunk| self.index >= chunk.len()) {
            self.skip_chunk();
        }
    }

    fn skip_chunk(&mut self) {
        self.chunk_index += 1;
        self.index = 0;
    }

    fn is_at_same_chunk(&self, other: &Self) -> bool {
        let (own, others) = (self.chunks.get(self.chunk_index), other.chunks.get(other.chunk_index));
        let (Some(own), Some(others)) = (own, others) else { return false };
        self.index == 0 && other.index == 0 && Arc::ptr_eq(own, others)
    }
}
