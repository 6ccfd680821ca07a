//! The generations of a log: each rewrite creates a new file `state.N`, and the newest complete one is
//! current.
//!
//! A new generation is written and synced as `state.N.new` and renamed to `state.N`; then the directory is
//! synced. So a file with its final name contains all records that it was created with.

use std::io;

use crate::disk::{Disk, DiskFile};
use crate::error::LogError;
use crate::format::{self, FRAME_LENGTH, HEADER_LENGTH, LogEnd, MAX_FILE_LENGTH, Scan};

/// The exclusive upper bound of generations. It is never reached by counting, so this or a greater number
/// in a file name is not a generation.
const GENERATION_LIMIT: u64 = 1 << 63;
/// Encoded records are buffered up to this length, in bytes, before they are written.
pub(crate) const WRITE_BUFFER_LENGTH: usize = 256 << 10;

/// A generation found on the disk, with a valid header.
pub(crate) struct FoundGeneration<D: Disk> {
    pub generation: u64,
    pub file: D::File,
    pub scan: Scan,
    /// The length of the file in bytes, including what follows the last valid record. At most
    /// [`MAX_FILE_LENGTH`] + 1, since no more is read.
    pub file_length: u64,
}

/// A new generation that is durable under its final name.
pub(crate) struct NewGeneration<D: Disk> {
    pub generation: u64,
    pub file: D::File,
    pub end: LogEnd,
}

/// The error of a new generation that could not be made durable.
pub(crate) struct PublishError {
    pub cause: LogError,
    /// True if the file may exist under its final name, now or after a crash.
    pub may_exist: bool,
}

/// Returns the first generation that is higher than all generations among these file names.
///
/// # Errors
///
/// [`LogError::Directory`] if that would be [`GENERATION_LIMIT`].
pub(crate) fn first_unused(names: &[String]) -> Result<u64, LogError> {
    let newest = names.iter().filter_map(|name| parse_any_file_name(name)).max();
    let next = newest.unwrap_or(0).saturating_add(1);
    if next >= GENERATION_LIMIT {
        return Err(LogError::Directory(io::Error::from(io::ErrorKind::InvalidInput)));
    }
    Ok(next)
}

/// Finds the newest complete generation among these file names, or the newest one with a valid header if none
/// is complete.
///
/// # Errors
///
/// [`LogError::Read`] if a file newer than the one found can't be read. It may be the newest complete
/// generation, so an older one must not be used instead.
pub(crate) fn find_newest<D: Disk>(
    disk: &mut D,
    names: &[String],
) -> Result<Option<FoundGeneration<D>>, LogError> {
    let mut generations: Vec<u64> = names.iter().filter_map(|name| parse_file_name(name)).collect();
    generations.sort_unstable();
    let mut newest_incomplete = None;
    for generation in generations.into_iter().rev() {
        let mut file = disk.open(&file_name(generation)).map_err(LogError::Read)?;
        let bytes = file.read(MAX_FILE_LENGTH.saturating_add(1)).map_err(LogError::Read)?;
        let Some(scan) = format::scan(&bytes, generation) else {
            continue;
        };
        let is_complete = scan.is_complete;
        let found = FoundGeneration { generation, file, scan, file_length: bytes.len() as u64 };
        if is_complete {
            return Ok(Some(found));
        }
        newest_incomplete = newest_incomplete.or(Some(found));
    }
    Ok(newest_incomplete)
}

/// Writes a new generation and makes it durable under its final name.
///
/// # Errors
///
/// The cause, and whether the file may exist under its final name.
pub(crate) fn publish<D: Disk>(
    disk: &mut D,
    generation: u64,
    incarnation: u64,
    records: &[Vec<u8>],
) -> Result<NewGeneration<D>, PublishError> {
    let temporary_name = temporary_file_name(generation);
    let written = write_file(disk, &temporary_name, generation, incarnation, records);
    let new_generation = written.map_err(|cause| {
        let _ = disk.remove(&temporary_name);
        PublishError { cause, may_exist: false }
    })?;
    disk.rename(&temporary_name, &file_name(generation))
        .map_err(|cause| PublishError { cause: LogError::Directory(cause), may_exist: true })?;
    disk.sync().map_err(|cause| PublishError { cause: LogError::Sync(cause), may_exist: true })?;
    Ok(new_generation)
}

/// Writes and syncs a file with a header and these records.
fn write_file<D: Disk>(
    disk: &mut D,
    name: &str,
    generation: u64,
    incarnation: u64,
    records: &[Vec<u8>],
) -> Result<NewGeneration<D>, LogError> {
    let total = encoded_length(records);
    let initial_records = u32::try_from(records.len()).map_err(|_| LogError::TooLong(total))?;
    if total > MAX_FILE_LENGTH {
        return Err(LogError::TooLong(total));
    }
    let mut file = disk.create(name).map_err(LogError::Directory)?;
    let mut buffer = Vec::new();
    let mut written = 0;
    let mut end = format::encode_header(generation, initial_records, &mut buffer);
    for record in records {
        let length = format::record_length(record)?;
        end = format::encode_record(&end, incarnation, length, record, &mut buffer);
        if buffer.len() >= WRITE_BUFFER_LENGTH {
            file.write(written, &buffer).map_err(LogError::Write)?;
            written = end.offset;
            buffer.clear();
        }
    }
    if !buffer.is_empty() {
        file.write(written, &buffer).map_err(LogError::Write)?;
    }
    file.sync().map_err(LogError::Sync)?;
    Ok(NewGeneration { generation, file, end })
}

/// Returns the length of a file with these records, in bytes.
fn encoded_length(records: &[Vec<u8>]) -> u64 {
    records.iter().fold(HEADER_LENGTH as u64, |total, record| {
        total.saturating_add(FRAME_LENGTH as u64).saturating_add(record.len() as u64)
    })
}

/// Returns the final name of a generation's file.
pub(crate) fn file_name(generation: u64) -> String {
    format!("state.{generation}")
}

/// Returns the name of a generation's file while it is written.
pub(crate) fn temporary_file_name(generation: u64) -> String {
    format!("state.{generation}.new")
}

/// Returns the generation whose final file name this is.
fn parse_file_name(name: &str) -> Option<u64> {
    let number = name.strip_prefix("state.")?.parse::<u64>().ok()?;
    (number < GENERATION_LIMIT && name == file_name(number)).then_some(number)
}

/// Returns the generation whose final or temporary file name this is.
pub(crate) fn parse_any_file_name(name: &str) -> Option<u64> {
    parse_file_name(name.strip_suffix(".new").unwrap_or(name))
}
