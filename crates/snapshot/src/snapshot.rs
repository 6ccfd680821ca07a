//! The snapshot: one small file with a checksum in its header and a JSON object as its body. It is read completely or not
//! at all.

use std::collections::BTreeMap;
use std::str::Utf8Error;

use mosshead_settings::{JsonError, JsonField, parse_json};
use thiserror::Error;
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::server_list::{ServerList, object, read_server_list, server_list_json};

/// The file of the snapshot in its folder.
pub const SNAPSHOT_FILE: &str = "snapshot";
/// The file that is written and then renamed to [`SNAPSHOT_FILE`].
pub const NEW_SNAPSHOT_FILE: &str = "snapshot.new";
/// The file whose lock shows which process writes.
pub const LOCK_FILE: &str = "lock";
/// Bound of a snapshot in bytes.
pub const MAX_SNAPSHOT_LEN: usize = 1024 * 1024;
/// Bound of the servers that are remembered as ended; the latest are.
pub const MAX_ENDED_SERVERS: usize = 256;

const MAGIC: &str = "mosshead-snapshot";
const FORMAT: u64 = 1;
/// Bound of the header line in bytes.
const MAX_HEADER_LEN: usize = 80;

/// Learned values of one subject, by their names.
pub type LearnedFigures = BTreeMap<String, f64>;

/// A server that drains or has ended, as an instance learned of it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedServer {
    /// Its id.
    pub id: String,
    /// When it started, in milliseconds of Unix time. One with another start is another server.
    pub started_ms: f64,
    /// When the instance learned of it, in milliseconds of Unix time.
    pub told_ms: u64,
}

/// All that one instance leaves to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The name of the instance.
    pub instance: String,
    /// Counts the instances of this name that started one after the other.
    pub life: u64,
    /// When it was written, in milliseconds of Unix time.
    pub written_ms: u64,
    /// The list of servers.
    pub list: ServerList,
    /// When discovery last confirmed the list to an instance of this name, in milliseconds of Unix time; 0 for never.
    pub told_ms: u64,
    /// Servers that drain or have ended.
    pub left: Vec<EndedServer>,
    /// Learned values by subject: `all`, `class/NAME`, `kind/NAME`, `zone/NAME`, `node/ID`.
    pub learnt: BTreeMap<String, LearnedFigures>,
}

/// Why there is no snapshot to read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// There is no file, or it is empty.
    #[error("empty")]
    Empty,
    /// It doesn't begin with the header of a snapshot.
    #[error("no snapshot")]
    InvalidHeader,
    /// It is in the format of another version.
    #[error("format {0}")]
    UnsupportedFormat(u64),
    /// Its body is shorter or longer than the header says.
    #[error("{found} bytes of {stated}")]
    WrongLength {
        /// By the header.
        stated: usize,
        /// Of the body.
        found: usize,
    },
    /// The checksum differs: the body has changed since it was written.
    #[error("checksum")]
    ChecksumMismatch,
    /// The file can't be read; the text is that of the operating system.
    #[error("{0}")]
    Unreadable(String),
    /// The file was not read in time.
    #[error("the folder does not answer")]
    TimedOut,
    /// Its body is not UTF-8.
    #[error(transparent)]
    Encoding(#[from] Utf8Error),
    /// Its body is not what a snapshot holds.
    #[error(transparent)]
    Content(#[from] JsonError),
}

/// Encodes a snapshot. Learned values that are not finite are left out.
pub fn write(snapshot: &Snapshot) -> Vec<u8> {
    let left = |left: &EndedServer| {
        object([
            ("id", left.id.clone().into()),
            ("started_ms", left.started_ms.into()),
            ("told_ms", (left.told_ms as f64).into()),
        ])
    };
    let figures = |figures: &LearnedFigures| {
        let finite = figures.iter().filter(|(_, value)| value.is_finite());
        JsonValue::Object(finite.map(|(name, value)| (name.clone(), (*value).into())).collect())
    };
    let learnt = snapshot.learnt.iter().map(|(of, all)| (of.clone(), figures(all))).collect();
    let left: Vec<JsonValue> = snapshot.left.iter().map(left).collect();
    let snapshot = object([
        ("instance", snapshot.instance.clone().into()),
        ("life", (snapshot.life as f64).into()),
        ("written_ms", (snapshot.written_ms as f64).into()),
        ("list", server_list_json(&snapshot.list)),
        ("told_ms", (snapshot.told_ms as f64).into()),
        ("left", left.into()),
        ("learnt", JsonValue::Object(learnt)),
    ]);
    // Every number in it is finite.
    frame(&snapshot.stringify().unwrap_or_default())
}

/// Puts the header before a body: magic, format, length and checksum.
pub fn frame(body: &str) -> Vec<u8> {
    format!("{MAGIC} {FORMAT} {} {:016x}\n{body}", body.len(), xxh3_64(body.as_bytes())).into_bytes()
}

/// Decodes a snapshot.
///
/// # Errors
///
/// It is empty, cut off, changed, of another format, or its body is not that of a snapshot.
pub fn read(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let end = bytes
        .iter()
        .take(MAX_HEADER_LEN)
        .position(|byte| *byte == b'\n')
        .ok_or(SnapshotError::InvalidHeader)?;
    let head = str::from_utf8(&bytes[..end]).map_err(|_| SnapshotError::InvalidHeader)?;
    let words: Vec<&str> = head.split(' ').collect();
    let [MAGIC, format, length, sum] = words[..] else {
        return Err(SnapshotError::InvalidHeader);
    };
    let format = format.parse().map_err(|_| SnapshotError::InvalidHeader)?;
    if format != FORMAT {
        return Err(SnapshotError::UnsupportedFormat(format));
    }
    let stated: usize = length.parse().map_err(|_| SnapshotError::InvalidHeader)?;
    let body = &bytes[end + 1..];
    if body.len() != stated {
        return Err(SnapshotError::WrongLength { stated, found: body.len() });
    }
    if sum != format!("{:016x}", xxh3_64(body)) {
        return Err(SnapshotError::ChecksumMismatch);
    }
    let json = parse_json(str::from_utf8(body)?)?;
    Ok(content(&JsonField::root(&json))?)
}

fn content(top: &JsonField) -> Result<Snapshot, JsonError> {
    let left = |left: &JsonField| -> Result<EndedServer, JsonError> {
        Ok(EndedServer {
            id: left.field("id")?.string()?.to_owned(),
            started_ms: left.field("started_ms")?.number()?,
            told_ms: left.field("told_ms")?.integer()?,
        })
    };
    let figures = |(of, found): (&String, JsonField)| -> Result<(String, LearnedFigures), JsonError> {
        let all = found.fields()?.into_iter().map(|(name, value)| Ok((name.clone(), value.number()?)));
        Ok((of.clone(), all.collect::<Result<_, JsonError>>()?))
    };
    Ok(Snapshot {
        instance: top.field("instance")?.string()?.to_owned(),
        life: top.field("life")?.integer()?,
        written_ms: top.field("written_ms")?.integer()?,
        list: read_server_list(&top.field("list")?)?,
        told_ms: top.field("told_ms")?.integer()?,
        left: top.field("left")?.items()?.iter().map(left).collect::<Result<_, _>>()?,
        learnt: top.field("learnt")?.fields()?.into_iter().map(figures).collect::<Result<_, _>>()?,
    })
}
