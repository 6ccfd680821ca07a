//! The snapshot: one small file with a checksum in its header and a JSON object as its body. It is used completely or
//! not at all.

use std::collections::BTreeMap;
use std::str::Utf8Error;

use mosshead_settings::{JsonError, JsonField, parse_json};
use thiserror::Error;
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::server_list::{ListedServer, ServerList, object, read_server_list, server_list_json};
use crate::unix_time::{ServerStart, UnixTime};

/// The file name of the snapshot in its folder.
pub const SNAPSHOT_FILE: &str = "snapshot";
/// The temporary file, which is renamed to [`SNAPSHOT_FILE`] once it is complete.
pub const NEW_SNAPSHOT_FILE: &str = "snapshot.new";
/// The lock file, which is locked by the process that writes.
pub const LOCK_FILE: &str = "lock";
/// The maximum length of a snapshot in bytes.
pub const MAX_SNAPSHOT_LEN: usize = 1024 * 1024;
/// The maximum number of draining or ended servers that are remembered; the latest ones are kept.
pub const MAX_ENDED_SERVERS: usize = 256;

const MAGIC: &str = "mosshead-snapshot";
const FORMAT: u64 = 1;
/// The maximum length of the header line in bytes.
const MAX_HEADER_LEN: usize = 80;
/// The stored value for a list that discovery has never confirmed.
const NEVER_CONFIRMED: u64 = 0;

/// The values that an instance has learned about one subject from its attempts, by name.
pub type LearnedValues = BTreeMap<String, f64>;
/// Learned values by subject: `all`, `class/NAME`, `kind/NAME`, `zone/NAME`, `bound/NAME`, `node/ID`.
pub type LearnedValuesBySubject = BTreeMap<String, LearnedValues>;

/// A server that an instance has learned to be draining or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedServer {
    /// Its id.
    pub id: String,
    /// When it started.
    pub started_at: ServerStart,
    /// When the instance learned that the server drains or has ended.
    pub reported_at: UnixTime,
}

impl EndedServer {
    /// True if a listed server is this one. A server with the same id and another start time is its successor.
    pub fn is_same_server(&self, listed: &ListedServer) -> bool {
        self.id == listed.id && self.started_at == listed.started_at
    }
}

/// The state that one instance stores for the next.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The name of the instance.
    pub instance_name: String,
    /// The sequence number of this instance among those of its name, from 1.
    pub incarnation: u64,
    /// When it was written.
    pub written_at: UnixTime,
    /// The list of servers.
    pub server_list: ServerList,
    /// When discovery last confirmed the list to an instance of this name; none if it never did.
    pub list_confirmed_at: Option<UnixTime>,
    /// Servers that drain or have ended.
    pub ended_servers: Vec<EndedServer>,
    /// The values that the instance has learned.
    pub learned_values: LearnedValuesBySubject,
}

/// Why there is no usable snapshot.
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
        /// The length that the header states, in bytes.
        stated: usize,
        /// The length of the body, in bytes.
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
    /// A field of its body is missing, of another type, or breaks a rule.
    #[error(transparent)]
    Content(#[from] JsonError),
}

/// Encodes a snapshot. Learned values that are not finite are left out.
pub fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let confirmed_ms = snapshot.list_confirmed_at.map_or(NEVER_CONFIRMED, UnixTime::as_millis);
    let ended_servers: Vec<JsonValue> = snapshot.ended_servers.iter().map(ended_server_json).collect();
    let body = object([
        ("instance", snapshot.instance_name.clone().into()),
        ("life", (snapshot.incarnation as f64).into()),
        ("written_ms", (snapshot.written_at.as_millis() as f64).into()),
        ("list", server_list_json(&snapshot.server_list)),
        ("told_ms", (confirmed_ms as f64).into()),
        ("left", ended_servers.into()),
        ("learnt", learned_values_json(&snapshot.learned_values)),
    ]);
    // Fails only for numbers that are not finite. There are none, since discovery's numbers are read from JSON.
    add_header(&body.stringify().unwrap_or_default())
}

fn ended_server_json(ended: &EndedServer) -> JsonValue {
    object([
        ("id", ended.id.clone().into()),
        ("started_ms", ended.started_at.as_unix_millis().into()),
        ("told_ms", (ended.reported_at.as_millis() as f64).into()),
    ])
}

fn learned_values_json(learned_values: &LearnedValuesBySubject) -> JsonValue {
    let values_json = |values: &LearnedValues| {
        let finite = values.iter().filter(|(_, value)| value.is_finite());
        JsonValue::Object(finite.map(|(name, value)| (name.clone(), (*value).into())).collect())
    };
    let subjects = learned_values.iter().map(|(subject, values)| (subject.clone(), values_json(values)));
    JsonValue::Object(subjects.collect())
}

/// Prepends the header to a body: magic, format, length and checksum.
pub fn add_header(body: &str) -> Vec<u8> {
    format!("{MAGIC} {FORMAT} {} {:016x}\n{body}", body.len(), xxh3_64(body.as_bytes())).into_bytes()
}

/// Decodes a snapshot.
///
/// # Errors
///
/// It is empty, truncated, changed, of another format, or its body is not that of a snapshot.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let body = checked_body(bytes)?;
    let json = parse_json(str::from_utf8(body)?)?;
    Ok(read_content(&JsonField::root(&json))?)
}

/// Returns the body if its length and checksum match the header.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    if bytes.is_empty() {
        return Err(SnapshotError::Empty);
    }
    let header_len = bytes
        .iter()
        .take(MAX_HEADER_LEN)
        .position(|byte| *byte == b'\n')
        .ok_or(SnapshotError::InvalidHeader)?;
    let header = str::from_utf8(&bytes[..header_len]).map_err(|_| SnapshotError::InvalidHeader)?;
    let words: Vec<&str> = header.split(' ').collect();
    let [MAGIC, format, length, checksum] = words[..] else {
        return Err(SnapshotError::InvalidHeader);
    };
    let format = format.parse().map_err(|_| SnapshotError::InvalidHeader)?;
    if format != FORMAT {
        return Err(SnapshotError::UnsupportedFormat(format));
    }
    let stated: usize = length.parse().map_err(|_| SnapshotError::InvalidHeader)?;
    let body = &bytes[header_len + 1..];
    if body.len() != stated {
        return Err(SnapshotError::WrongLength { stated, found: body.len() });
    }
    if checksum != format!("{:016x}", xxh3_64(body)) {
        return Err(SnapshotError::ChecksumMismatch);
    }
    Ok(body)
}

fn read_content(root: &JsonField) -> Result<Snapshot, JsonError> {
    let unix_time = |name| Ok(UnixTime::from_millis(root.field(name)?.integer()?));
    Ok(Snapshot {
        instance_name: root.field("instance")?.string()?.to_owned(),
        incarnation: root.field("life")?.integer()?,
        written_at: unix_time("written_ms")?,
        server_list: read_server_list(&root.field("list")?)?,
        list_confirmed_at: Some(unix_time("told_ms")?).filter(|time| time.as_millis() != NEVER_CONFIRMED),
        ended_servers: root
            .field("left")?
            .items()?
            .iter()
            .map(read_ended_server)
            .collect::<Result<_, _>>()?,
        learned_values: root
            .field("learnt")?
            .fields()?
            .into_iter()
            .map(|(subject, values)| Ok((subject.clone(), read_learned_values(&values)?)))
            .collect::<Result<_, JsonError>>()?,
    })
}

fn read_ended_server(ended: &JsonField) -> Result<EndedServer, JsonError> {
    Ok(EndedServer {
        id: ended.field("id")?.string()?.to_owned(),
        started_at: ServerStart::from_unix_millis(ended.field("started_ms")?.number()?),
        reported_at: UnixTime::from_millis(ended.field("told_ms")?.integer()?),
    })
}

fn read_learned_values(values: &JsonField) -> Result<LearnedValues, JsonError> {
    values.fields()?.into_iter().map(|(name, value)| Ok((name.clone(), value.number()?))).collect()
}
