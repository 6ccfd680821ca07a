//! The format of a log file: a header, followed by records. All numbers are little-endian.
//!
//! Header: magic (8 bytes), generation (8), number of records that the file was created with (4), checksum
//! (4).
//! Record: length (4), sequence (8), incarnation of the writer (8), checksum (4), content.
//!
//! The checksum of a record also covers the checksum of its predecessor, and incarnations never decrease. So
//! bytes that were truncated but reappear after a crash, or that follow a hole, are not valid successors of
//! the records before them.

use crc32fast::Hasher;

use crate::error::LogError;

/// The maximum length of a record, in bytes.
pub const MAX_RECORD_LENGTH: usize = 16 << 20;
/// The maximum length of a file, in bytes. During a rewrite two generations need space on the disk.
pub const MAX_FILE_LENGTH: u64 = 56 << 20;
/// The length of the header, in bytes.
pub const HEADER_LENGTH: usize = 24;
/// The length of the frame in front of the content of each record, in bytes: length, sequence, incarnation
/// and checksum.
pub const FRAME_LENGTH: usize = 24;

const MAGIC: [u8; 8] = *b"cistern1";

/// The end of a valid sequence of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogEnd {
    /// The offset after the last record, in bytes.
    pub offset: u64,
    /// The number of records so far, which is the sequence number of the next one.
    pub sequence: u64,
    /// The checksum of the last record, or of the header if there is none.
    pub checksum: u32,
    /// The incarnation that wrote the last record; 0 if there is none.
    pub incarnation: u64,
}

/// The result of reading a file.
pub(crate) struct Scan {
    /// The records before the first invalid one.
    pub records: Vec<Vec<u8>>,
    /// The end of these records.
    pub end: LogEnd,
    /// True if all records that the file was created with are present. If not, its generation was not written
    /// completely.
    pub is_complete: bool,
}

/// A valid record that was decoded from the start of a byte slice.
struct DecodedRecord<'a> {
    content: &'a [u8],
    /// The end of the log after this record.
    end: LogEnd,
    /// The bytes after this record.
    rest: &'a [u8],
}

/// Appends a header to `output`. Returns the end of a log without records.
pub(crate) fn encode_header(generation: u64, initial_records: u32, output: &mut Vec<u8>) -> LogEnd {
    let checksum = header_checksum(generation, initial_records);
    output.extend_from_slice(&MAGIC);
    output.extend_from_slice(&generation.to_le_bytes());
    output.extend_from_slice(&initial_records.to_le_bytes());
    output.extend_from_slice(&checksum.to_le_bytes());
    end_of_header(checksum)
}

/// Appends a framed record to `output`. `length` is the length of `record`. Returns the end of the log after
/// it.
pub(crate) fn encode_record(
    previous: &LogEnd,
    incarnation: u64,
    length: u32,
    record: &[u8],
    output: &mut Vec<u8>,
) -> LogEnd {
    let checksum = record_checksum(previous, length, incarnation, record);
    output.extend_from_slice(&length.to_le_bytes());
    output.extend_from_slice(&previous.sequence.to_le_bytes());
    output.extend_from_slice(&incarnation.to_le_bytes());
    output.extend_from_slice(&checksum.to_le_bytes());
    output.extend_from_slice(record);
    end_after(previous, incarnation, length, checksum)
}

/// Reads the records up to the first invalid one. Returns `None` if the header is not valid for this
/// generation.
pub(crate) fn scan(bytes: &[u8], generation: u64) -> Option<Scan> {
    let (magic, rest) = bytes.split_first_chunk::<8>()?;
    let (found_generation, rest) = rest.split_first_chunk::<8>()?;
    let (initial_records, rest) = rest.split_first_chunk::<4>()?;
    let (checksum, mut rest) = rest.split_first_chunk::<4>()?;
    let found_generation = u64::from_le_bytes(*found_generation);
    let initial_records = u32::from_le_bytes(*initial_records);
    let checksum = u32::from_le_bytes(*checksum);
    if *magic != MAGIC
        || found_generation != generation
        || checksum != header_checksum(found_generation, initial_records)
    {
        return None;
    }
    let mut records = Vec::new();
    let mut end = end_of_header(checksum);
    while let Some(decoded) = decode_record(&end, rest) {
        records.push(decoded.content.to_vec());
        end = decoded.end;
        rest = decoded.rest;
    }
    Some(Scan { is_complete: end.sequence >= u64::from(initial_records), records, end })
}

/// Returns the length of a record as it is written in its frame.
///
/// # Errors
///
/// [`LogError::TooLong`] if the record is longer than [`MAX_RECORD_LENGTH`].
pub(crate) fn record_length(record: &[u8]) -> Result<u32, LogError> {
    let length = record.len();
    u32::try_from(length)
        .ok()
        .filter(|_| length <= MAX_RECORD_LENGTH)
        .ok_or_else(|| LogError::TooLong(u64::try_from(length).unwrap_or(u64::MAX)))
}

/// Decodes the record at the start of `bytes`. Returns `None` if it is not a valid successor of the
/// `previous` records.
fn decode_record<'a>(previous: &LogEnd, bytes: &'a [u8]) -> Option<DecodedRecord<'a>> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (incarnation, rest) = rest.split_first_chunk::<8>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length);
    let incarnation = u64::from_le_bytes(*incarnation);
    let checksum = u32::from_le_bytes(*checksum);
    if u64::from_le_bytes(*sequence) != previous.sequence {
        return None;
    }
    // Incarnation 0 is never written, so a hole of zeros is not a valid record.
    if incarnation == 0 || incarnation < previous.incarnation {
        return None;
    }
    let content_length = usize::try_from(length).ok().filter(|length| *length <= MAX_RECORD_LENGTH)?;
    let (content, rest) = rest.split_at_checked(content_length)?;
    if checksum != record_checksum(previous, length, incarnation, content) {
        return None;
    }
    Some(DecodedRecord { content, end: end_after(previous, incarnation, length, checksum), rest })
}

fn end_of_header(checksum: u32) -> LogEnd {
    LogEnd { offset: HEADER_LENGTH as u64, sequence: 0, checksum, incarnation: 0 }
}

/// Returns the end of the log after a record.
fn end_after(previous: &LogEnd, incarnation: u64, length: u32, checksum: u32) -> LogEnd {
    LogEnd {
        offset: previous.offset.saturating_add(FRAME_LENGTH as u64).saturating_add(u64::from(length)),
        sequence: previous.sequence.saturating_add(1),
        checksum,
        incarnation,
    }
}

fn header_checksum(generation: u64, initial_records: u32) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&MAGIC);
    hasher.update(&generation.to_le_bytes());
    hasher.update(&initial_records.to_le_bytes());
    hasher.finalize()
}

fn record_checksum(previous: &LogEnd, length: u32, incarnation: u64, record: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&previous.checksum.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.update(&previous.sequence.to_le_bytes());
    hasher.update(&incarnation.to_le_bytes());
    hasher.update(record);
    hasher.finalize()
}
