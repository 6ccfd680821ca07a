//! The difference of two bodies as instructions: copy a range of the base, or insert bytes.
//!
//! Ranges that both bodies have are found by the hashes of the base's blocks. Work is bounded: the search ends where too
//! much is new. What a delta can make its reader allocate is bounded by [`MAX_BODY_BYTES`].

use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::body_bytes::{decode_body, encode_body};
use crate::limits::MAX_BODY_BYTES;

/// The base is indexed by blocks of this many bytes; shorter common ranges inside of a change aren't found.
const BLOCK_BYTES: usize = 64;
/// A delta inserts at most this many bytes: beyond that, a complete body costs hardly more.
const MAX_INSERTED_BYTES: usize = 256 << 10;
/// A delta that is not this many times shorter than its target is not worth its computation.
const MIN_COMPRESSION_FACTOR: usize = 2;
/// Slices of this length are compared at once where two bodies begin or end alike.
const COMPARE_BYTES: usize = 256;
/// The multiplier of the rolling hash.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Set in an insertion, clear in a copy: the lowest bit of an instruction.
const INSERT_BIT: u64 = 1;

/// The instructions that make one body, the target, of another, the base.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct BodyDelta {
    /// The length of the target in bytes, then the instructions. An instruction starts with a number: its lowest bit is
    /// [`INSERT_BIT`], the others are how many bytes it adds. After an insertion follow these bytes, after a copy the
    /// position in the base. All numbers as in LEB128, seven bits to a byte.
    #[cbor(n(0), encode_with = "encode_body", decode_with = "decode_body")]
    instructions: Arc<[u8]>,
}

impl BodyDelta {
    /// The difference of two bodies; none where the target itself is hardly longer.
    pub fn between(base: &[u8], target: &[u8]) -> Option<BodyDelta> {
        if target.len() > MAX_BODY_BYTES {
            return None;
        }
        let prefix = common_prefix(base, target);
        let (base_rest, target_rest) = (base.get(prefix..)?, target.get(prefix..)?);
        let suffix = common_suffix(base_rest, target_rest);
        let base_middle = base_rest.get(..base_rest.len() - suffix)?;
        let target_middle = target_rest.get(..target_rest.len() - suffix)?;
        let mut writer = Writer::new(target.len());
        writer.copy(0, prefix);
        write_difference(&mut writer, base_middle, target_middle, prefix)?;
        writer.copy(base.len() - suffix, suffix);
        (writer.instructions.len() <= target.len() / MIN_COMPRESSION_FACTOR)
            .then(|| BodyDelta { instructions: writer.instructions.into() })
    }

    /// The target; none if the instructions are invalid or refer to ranges that the base does not have.
    pub fn apply(&self, base: &[u8]) -> Option<Vec<u8>> {
        let mut reader = Reader { rest: &self.instructions };
        let length =
            usize::try_from(reader.read_number()?).ok().filter(|length| *length <= MAX_BODY_BYTES)?;
        let mut target = Vec::with_capacity(length);
        while !reader.rest.is_empty() {
            let instruction = reader.read_number()?;
            let count = usize::try_from(instruction >> 1).ok()?;
            if count == 0 || count > length - target.len() {
                return None;
            }
            let range = if instruction & INSERT_BIT != 0 {
                reader.read_bytes(count)?
            } else {
                let start = usize::try_from(reader.read_number()?).ok()?;
                base.get(start..start.checked_add(count)?)?
            };
            target.extend_from_slice(range);
        }
        (target.len() == length).then_some(target)
    }

    /// The length of the instructions, in bytes.
    pub fn len(&self) -> usize {
        self.instructions.len()
    }

    /// Whether there are no instructions; such a delta can't be applied.
    pub fn is_empty(&self) -> bool {
        self.instructions.is_empty()
    }
}

fn common_prefix(left: &[u8], right: &[u8]) -> usize {
    let chunks = left.chunks_exact(COMPARE_BYTES).zip(right.chunks_exact(COMPARE_BYTES));
    let equal = COMPARE_BYTES * chunks.take_while(|(a, b)| a == b).count();
    let rest = left.iter().zip(right).skip(equal);
    equal + rest.take_while(|(a, b)| a == b).count()
}

fn common_suffix(left: &[u8], right: &[u8]) -> usize {
    let chunks = left.rchunks_exact(COMPARE_BYTES).zip(right.rchunks_exact(COMPARE_BYTES));
    let equal = COMPARE_BYTES * chunks.take_while(|(a, b)| a == b).count();
    let rest = left.iter().rev().zip(right.iter().rev()).skip(equal);
    equal + rest.take_while(|(a, b)| a == b).count()
}

/// Writes what makes `target` of `base`, which starts at `base_start` of the complete base; none if too much is new.
///
/// Moves a window of [`BLOCK_BYTES`] over the target. Where the base has a block like it, the match is extended to both
/// sides and copied; what lies between two matches is inserted.
fn write_difference(writer: &mut Writer, base: &[u8], target: &[u8], base_start: usize) -> Option<()> {
    let index = BlockIndex::new(base);
    let mut position = 0;
    // The bytes from here to `position` were not found in the base.
    let mut unmatched = 0;
    let mut hash = target.get(..BLOCK_BYTES).map(RollingHash::of);
    while let Some(rolling) = hash {
        let rest = target.get(position..).unwrap_or_default();
        let Some(start) = index.find(base, rolling.value, rest) else {
            if position - unmatched > writer.insertable_bytes() {
                return None;
            }
            let entering = rest.get(BLOCK_BYTES);
            hash = rest.first().zip(entering).map(|(leaving, entering)| rolling.roll(*leaving, *entering));
            position += 1;
            continue;
        };
        let before = target.get(unmatched..position).unwrap_or_default();
        let backward = common_suffix(base.get(..start).unwrap_or_default(), before);
        let forward = common_prefix(base.get(start..).unwrap_or_default(), rest);
        writer.insert(before.get(..before.len() - backward).unwrap_or_default());
        writer.copy(base_start + start - backward, backward + forward);
        position += forward;
        unmatched = position;
        hash = target.get(position..position + BLOCK_BYTES).map(RollingHash::of);
    }
    let rest = target.get(unmatched..).unwrap_or_default();
    (rest.len() <= writer.insertable_bytes()).then(|| writer.insert(rest))
}

/// A hash of the last [`BLOCK_BYTES`] bytes.
#[derive(Clone, Copy)]
struct RollingHash {
    value: u64,
}

impl RollingHash {
    fn of(block: &[u8]) -> RollingHash {
        let add = |sum: u64, byte: &u8| sum.wrapping_mul(HASH_FACTOR).wrapping_add(u64::from(*byte) + 1);
        RollingHash { value: block.iter().fold(0, add) }
    }

    fn roll(self, leaving: u8, entering: u8) -> RollingHash {
        let removed = (u64::from(leaving) + 1).wrapping_mul(HASH_FACTOR.wrapping_pow(BLOCK_BYTES as u32 - 1));
        let value = self.value.wrapping_sub(removed).wrapping_mul(HASH_FACTOR);
        RollingHash { value: value.wrapping_add(u64::from(entering) + 1) }
    }
}

/// The positions of the blocks of the base, by their hash. Of blocks that share a slot only the first is found.
struct BlockIndex {
    /// The number of the block plus one; zero if the slot is free. Their number is a power of two.
    slots: Vec<u32>,
    /// How far a hash is shifted so that it is the index of a slot.
    shift: u32,
}

impl BlockIndex {
    fn new(base: &[u8]) -> BlockIndex {
        let blocks = base.len() / BLOCK_BYTES;
        let size = (2 * blocks).next_power_of_two().max(2);
        let mut index = BlockIndex { slots: vec![0; size], shift: u64::BITS - size.trailing_zeros() };
        for (number, block) in (1..=u32::MAX).zip(base.chunks_exact(BLOCK_BYTES)) {
            let slot = index.slot(RollingHash::of(block).value);
            if let Some(free) = index.slots.get_mut(slot).filter(|slot| **slot == 0) {
                *free = number;
            }
        }
        index
    }

    fn slot(&self, hash: u64) -> usize {
        // The highest bits depend on all bytes; multiplied once more, they are spread evenly.
        (hash.wrapping_mul(HASH_FACTOR) >> self.shift) as usize
    }

    /// Where a block of the base is that the rest begins with.
    fn find(&self, base: &[u8], hash: u64, rest: &[u8]) -> Option<usize> {
        let number = self.slots.get(self.slot(hash)).copied()?.checked_sub(1)?;
        let start = number as usize * BLOCK_BYTES;
        (base.get(start..start + BLOCK_BYTES)? == rest.get(..BLOCK_BYTES)?).then_some(start)
    }
}

/// Writes the instructions of a delta.
struct Writer {
    instructions: Vec<u8>,
    /// The sum of all insertions, at most [`MAX_INSERTED_BYTES`].
    inserted: usize,
}

impl Writer {
    fn new(target_length: usize) -> Writer {
        let mut writer = Writer { instructions: Vec::new(), inserted: 0 };
        writer.write_number(target_length as u64);
        writer
    }

    fn write_number(&mut self, mut number: u64) {
        while number > 0x7f {
            self.instructions.push(number as u8 | 0x80);
            number >>= 7;
        }
        self.instructions.push(number as u8);
    }

    fn insertable_bytes(&self) -> usize {
        MAX_INSERTED_BYTES.saturating_sub(self.inserted)
    }

    fn copy(&mut self, start: usize, length: usize) {
        if length > 0 {
            self.write_number((length as u64) << 1);
            self.write_number(start as u64);
        }
    }

    fn insert(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.inserted += bytes.len();
            self.write_number((bytes.len() as u64) << 1 | INSERT_BIT);
            self.instructions.extend_from_slice(bytes);
        }
    }
}

/// Reads the instructions of a delta.
struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    fn read_number(&mut self) -> Option<u64> {
        let mut number = 0_u64;
        for shift in (0..u64::BITS).step_by(7) {
            let (first, rest) = self.rest.split_first()?;
            self.rest = rest;
            let group = u64::from(first & 0x7f);
            // A number has at most 64 bits.
            if (group << shift) >> shift != group {
                return None;
            }
            number |= group << shift;
            if first & 0x80 == 0 {
                return Some(number);
            }
        }
        None
    }

    fn read_bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.rest.split_at_checked(count)?;
        self.rest = rest;
        Some(bytes)
    }
}
