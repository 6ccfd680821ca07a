//! Binary deltas between two bodies: instructions that copy a range of the base, or insert bytes.
//!
//! Common ranges are found with a hash index of the base's blocks and a rolling hash over the target, as in rsync.
//! The work is bounded: the search stops once too many bytes would have to be inserted. Applying a delta allocates at
//! most [`MAX_BODY_BYTES`].

use std::sync::Arc;

use minicbor::{Decode, Encode};

use crate::limits::MAX_BODY_BYTES;
use crate::shared_bytes::{decode_bytes, encode_bytes};

/// The length of an indexed block of the base. Apart from a common prefix and suffix of the bodies, common ranges that
/// contain no complete block of the base aren't found.
const BLOCK_BYTES: usize = 64;
/// The maximum number of bytes that a delta inserts. Beyond that, a complete body costs little more.
const MAX_INSERTED_BYTES: usize = 256 << 10;
/// A delta is only used if its target is at least this many times as long; otherwise it is not worth the computation.
const MIN_COMPRESSION_FACTOR: usize = 2;
/// The length of the slices that are compared at once when searching for a common prefix or suffix.
const COMPARED_SLICE_BYTES: usize = 256;
/// The multiplier of the rolling hash.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// The lowest bit of an instruction: set for an insertion, clear for a copy.
const INSERT_BIT: u64 = 1;

/// Instructions that turn one body, the base, into another, the target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct BodyDelta {
    /// The length of the target in bytes, then the instructions. An instruction starts with a number: the lowest bit
    /// is [`INSERT_BIT`], the remaining bits are the number of bytes that it appends to the target. In an insertion,
    /// the number is followed by these bytes; in a copy, by the start of the range in the base. All numbers are
    /// encoded as unsigned LEB128.
    #[cbor(n(0), encode_with = "encode_bytes", decode_with = "decode_bytes")]
    instructions: Arc<[u8]>,
}

impl BodyDelta {
    /// The delta from `base` to `target`; none if it would be little shorter than the target, or if the target is
    /// longer than [`MAX_BODY_BYTES`].
    pub fn between(base: &[u8], target: &[u8]) -> Option<BodyDelta> {
        if target.len() > MAX_BODY_BYTES {
            return None;
        }
        let prefix = common_prefix(base, target);
        let (base_rest, target_rest) = (base.get(prefix..)?, target.get(prefix..)?);
        let suffix = common_suffix(base_rest, target_rest);
        let base_middle = base_rest.get(..base_rest.len() - suffix)?;
        let target_middle = target_rest.get(..target_rest.len() - suffix)?;
        let mut writer = InstructionWriter::new(target.len());
        writer.copy(0, prefix);
        write_difference(&mut writer, base_middle, target_middle, prefix)?;
        writer.copy(base.len() - suffix, suffix);
        (writer.instructions.len() <= target.len() / MIN_COMPRESSION_FACTOR)
            .then(|| BodyDelta { instructions: writer.instructions.into() })
    }

    /// Returns the target; none if the instructions are invalid or refer to a range outside the base.
    pub fn apply(&self, base: &[u8]) -> Option<Vec<u8>> {
        let mut reader = InstructionReader { rest: &self.instructions };
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

    /// Returns true if the delta is of length zero; such a delta can't be applied.
    pub fn is_empty(&self) -> bool {
        self.instructions.is_empty()
    }
}

fn common_prefix(left: &[u8], right: &[u8]) -> usize {
    let chunks = left.chunks_exact(COMPARED_SLICE_BYTES).zip(right.chunks_exact(COMPARED_SLICE_BYTES));
    let equal = COMPARED_SLICE_BYTES * chunks.take_while(|(a, b)| a == b).count();
    let rest = left.iter().zip(right).skip(equal);
    equal + rest.take_while(|(a, b)| a == b).count()
}

fn common_suffix(left: &[u8], right: &[u8]) -> usize {
    let chunks = left.rchunks_exact(COMPARED_SLICE_BYTES).zip(right.rchunks_exact(COMPARED_SLICE_BYTES));
    let equal = COMPARED_SLICE_BYTES * chunks.take_while(|(a, b)| a == b).count();
    let rest = left.iter().rev().zip(right.iter().rev()).skip(equal);
    equal + rest.take_while(|(a, b)| a == b).count()
}

/// Writes the instructions that turn `base`, a range that starts at `base_start` of the complete base, into `target`.
/// Returns none if more than [`MAX_INSERTED_BYTES`] would have to be inserted.
///
/// Moves a window of [`BLOCK_BYTES`] over the target. If the base has an equal block, the match is extended in both
/// directions and copied. The bytes between two matches are inserted.
fn write_difference(
    writer: &mut InstructionWriter,
    base: &[u8],
    target: &[u8],
    base_start: usize,
) -> Option<()> {
    let index = BlockIndex::new(base);
    let mut position = 0;
    // No match was found for the bytes of the target from here to `position`.
    let mut unmatched_start = 0;
    let mut hash = target.get(..BLOCK_BYTES).map(RollingHash::of);
    while let Some(rolling) = hash {
        let rest = target.get(position..).unwrap_or_default();
        let Some(start) = index.find(base, rolling.value, rest) else {
            if position - unmatched_start > writer.insertable_bytes() {
                return None;
            }
            let entering = rest.get(BLOCK_BYTES);
            hash = rest.first().zip(entering).map(|(leaving, entering)| rolling.roll(*leaving, *entering));
            position += 1;
            continue;
        };
        let before = target.get(unmatched_start..position).unwrap_or_default();
        let backward = common_suffix(base.get(..start).unwrap_or_default(), before);
        let forward = common_prefix(base.get(start..).unwrap_or_default(), rest);
        writer.insert(before.get(..before.len() - backward).unwrap_or_default());
        writer.copy(base_start + start - backward, backward + forward);
        position += forward;
        unmatched_start = position;
        hash = target.get(position..position + BLOCK_BYTES).map(RollingHash::of);
    }
    let rest = target.get(unmatched_start..).unwrap_or_default();
    (rest.len() <= writer.insertable_bytes()).then(|| writer.insert(rest))
}

/// The polynomial rolling hash of a window of [`BLOCK_BYTES`].
#[derive(Clone, Copy)]
struct RollingHash {
    value: u64,
}

impl RollingHash {
    fn of(block: &[u8]) -> RollingHash {
        let add = |sum: u64, byte: &u8| sum.wrapping_mul(HASH_MULTIPLIER).wrapping_add(u64::from(*byte) + 1);
        RollingHash { value: block.iter().fold(0, add) }
    }

    fn roll(self, leaving: u8, entering: u8) -> RollingHash {
        let removed =
            (u64::from(leaving) + 1).wrapping_mul(HASH_MULTIPLIER.wrapping_pow(BLOCK_BYTES as u32 - 1));
        let value = self.value.wrapping_sub(removed).wrapping_mul(HASH_MULTIPLIER);
        RollingHash { value: value.wrapping_add(u64::from(entering) + 1) }
    }
}

/// A hash index of the blocks of the base. If several blocks have the same slot, only the first of them is found.
struct BlockIndex {
    /// In each slot the number of a block plus one, or zero if the slot is free. The number of slots is a power of two.
    slots: Vec<u32>,
    /// By how many bits a hash is shifted right to get the index of a slot.
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
        // The highest bits depend on all bytes of the block. Another multiplication distributes them evenly.
        (hash.wrapping_mul(HASH_MULTIPLIER) >> self.shift) as usize
    }

    /// The start of a block of the base that `rest` begins with; `hash` is that of the first [`BLOCK_BYTES`] of `rest`.
    fn find(&self, base: &[u8], hash: u64, rest: &[u8]) -> Option<usize> {
        let number = self.slots.get(self.slot(hash)).copied()?.checked_sub(1)?;
        let start = number as usize * BLOCK_BYTES;
        (base.get(start..start + BLOCK_BYTES)? == rest.get(..BLOCK_BYTES)?).then_some(start)
    }
}

/// Writes the instructions of a delta.
struct InstructionWriter {
    instructions: Vec<u8>,
    /// The total number of inserted bytes; at most [`MAX_INSERTED_BYTES`].
    inserted: usize,
}

impl InstructionWriter {
    fn new(target_length: usize) -> InstructionWriter {
        let mut writer = InstructionWriter { instructions: Vec::new(), inserted: 0 };
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
struct InstructionReader<'a> {
    rest: &'a [u8],
}

impl<'a> InstructionReader<'a> {
    fn read_number(&mut self) -> Option<u64> {
        let mut number = 0_u64;
        for shift in (0..u64::BITS).step_by(7) {
            let (first, rest) = self.rest.split_first()?;
            self.rest = rest;
            let group = u64::from(first & 0x7f);
            // Reject numbers of more than 64 bits.
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
