//! The file: a header (magic, generation, how many records it was written with, checksum), then records (length,
//! sequence, life, checksum, bytes). The checksum of a record also covers that of the one before, and lives never
//! fall, so bytes that were cut off and came back, or stand behind a hole, don't fit what is in front of them.

use crc32fast::Hasher;

/// The longest record, in bytes.
pub const MAX_RECORD_LENGTH: usize = 16 << 20;
/// The longest file, in bytes; two generations fit on the smallest disk.
pub const MAX_FILE_LENGTH: u64 = 56 << 20;
/// The bytes in front of all records.
pub const HEADER_LENGTH: usize = 24;
/// The bytes in front of each record.
pub const FRAME_LENGTH: usize = 24;

const MAGIC: [u8; 8] = *b"cistern1";

/// The end of the records so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogEnd {
    /// Bytes up to here.
    pub offset: u64,
    /// Records up to here.
    pub sequence: u64,
    /// Checksum of the last record, or of the header.
    pub checksum: u32,
    /// Life of the last record.
    pub life: u64,
}

/// What was read from a file.
pub(crate) struct Scan {
    pub records: Vec<Vec<u8>>,
    pub mark: LogEnd,
    /// All records that the file was written with are there.
    pub complete: bool,
}

/// Appends the header to `out`.
pub(crate) fn put_header(generation: u64, base: u32, out: &mut Vec<u8>) -> LogEnd {
    let checksum = header_checksum(generation, base);
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&generation.to_le_bytes());
    out.extend_from_slice(&base.to_le_bytes());
    out.extend_from_slice(&checksum.to_le_bytes());
    LogEnd { offset: HEADER_LENGTH as u64, sequence: 0, checksum, life: 0 }
}

/// Appends a framed record to `out`.
pub(crate) fn put_record(
    before: &LogEnd,
    life: u64,
    length: u32,
    record: &[u8],
    out: &mut Vec<u8>,
) -> LogEnd {
    let checksum = record_checksum(before, length, life, record);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&before.sequence.to_le_bytes());
    out.extend_from_slice(&life.to_le_bytes());
    out.extend_from_slice(&checksum.to_le_bytes());
    out.extend_from_slice(record);
    after(before, life, length, checksum)
}

/// Reads records up to the first that doesn't fit. None: the header is not of this generation.
pub(crate) fn scan(bytes: &[u8], generation: u64) -> Option<Scan> {
    let (magic, rest) = bytes.split_first_chunk::<8>()?;
    let (number, rest) = rest.split_first_chunk::<8>()?;
    let (base, rest) = rest.split_first_chunk::<4>()?;
    let (checksum, mut rest) = rest.split_first_chunk::<4>()?;
    let (number, base) = (u64::from_le_bytes(*number), u32::from_le_bytes(*base));
    let checksum = u32::from_le_bytes(*checksum);
    if *magic != MAGIC || number != generation || checksum != header_checksum(number, base) {
        return None;
    }
    let mut records = Vec::new();
    let mut mark = LogEnd { offset: HEADER_LENGTH as u64, sequence: 0, checksum, life: 0 };
    while let Some((record, next, behind)) = take_record(&mark, rest) {
        records.push(record.to_vec());
        mark = next;
        rest = behind;
    }
    Some(Scan { complete: mark.sequence >= u64::from(base), records, mark })
}

fn take_record<'a>(before: &LogEnd, bytes: &'a [u8]) -> Option<(&'a [u8], LogEnd, &'a [u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (life, rest) = rest.split_first_chunk::<8>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let (length, life) = (u32::from_le_bytes(*length), u64::from_le_bytes(*life));
    let checksum = u32::from_le_bytes(*checksum);
    // Life 0 is never written, so a hole of zeros is no record.
    if u64::from_le_bytes(*sequence) != before.sequence || life == 0 || life < before.life {
        return None;
    }
    let length_here = usize::try_from(length).ok().filter(|length| *length <= MAX_RECORD_LENGTH)?;
    let (record, behind) = rest.split_at_checked(length_here)?;
    if checksum != record_checksum(before, length, life, record) {
        return None;
    }
    Some((record, after(before, life, length, checksum), behind))
}

fn after(before: &LogEnd, life: u64, length: u32, checksum: u32) -> LogEnd {
    LogEnd {
        offset: before.offset.saturating_add(FRAME_LENGTH as u64).saturating_add(u64::from(length)),
        sequence: before.sequence.saturating_add(1),
        checksum,
        life,
    }
}

fn header_checksum(generation: u64, base: u32) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&MAGIC);
    hasher.update(&generation.to_le_bytes());
    hasher.update(&base.to_le_bytes());
    hasher.finalize()
}

fn record_checksum(before: &LogEnd, length: u32, life: u64, record: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&before.checksum.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&before.sequence.to_le_bytes());
    hasher.update(&life.to_le_bytes());
    hasher.update(record);
    hasher.finalize()
}
