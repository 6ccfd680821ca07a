//! The snapshot: one small file, a frame with a checksum around a JSON object. It is whole or it is none.

use std::collections::BTreeMap;
use std::str::Utf8Error;

use mosshead_settings::{JsonError, JsonField, parse_json};
use thiserror::Error;
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::listing::{Listing, listing_json, object, read_listing};

/// The file in its folder, the one that is written before it takes that place, and the one whose lock says who writes.
pub const FILE: &str = "snapshot";
/// See [`FILE`].
pub const FRESH: &str = "snapshot.new";
/// See [`FILE`].
pub const LOCK: &str = "lock";
/// No snapshot is larger.
pub const LARGEST: usize = 1024 * 1024;
/// So many nodes that have left are remembered, the latest.
pub const LEFT_MOST: usize = 256;

const MAGIC: &str = "mosshead-snapshot";
const FORMAT: u64 = 1;
/// The first line is no longer.
const HEAD: usize = 80;

/// What was learnt of something: figures by their names.
pub type Figures = BTreeMap<String, f64>;

/// A node that drains or has gone, by the word that a life had of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Left {
    /// Its id.
    pub id: String,
    /// Its start: one that has started since is another matter.
    pub started_ms: f64,
    /// When that was told.
    pub told_ms: u64,
}

/// All that one life leaves to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Whose it is.
    pub instance: String,
    /// Which life of it: each one counts on.
    pub life: u64,
    /// When it was written, as Unix time.
    pub written_ms: u64,
    /// The list, and when discovery itself last told it, in whichever life; 0 for never.
    pub list: Listing,
    /// See `list`.
    pub told_ms: u64,
    /// Nodes that drain or have gone.
    pub left: Vec<Left>,
    /// What was learnt, by whom it is of: `all`, `class/NAME`, `kind/NAME`, `zone/NAME`, `node/ID`.
    pub learnt: BTreeMap<String, Figures>,
}

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Spoilt {
    /// There is nothing.
    #[error("empty")]
    Empty,
    /// It does not begin as one.
    #[error("no snapshot")]
    Head,
    /// It is of a later program.
    #[error("format {0}")]
    Format(u64),
    /// There is less, or more, than its first line says.
    #[error("{found} bytes of {stated}")]
    Length {
        /// What the first line says.
        stated: usize,
        /// What there is.
        found: usize,
    },
    /// Some of it has changed since it was written.
    #[error("checksum")]
    Checksum,
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

/// Writes a snapshot.
pub fn write(snapshot: &Snapshot) -> Vec<u8> {
    let left = |left: &Left| {
        object([
            ("id", left.id.clone().into()),
            ("started_ms", left.started_ms.into()),
            ("told_ms", (left.told_ms as f64).into()),
        ])
    };
    let figures = |figures: &Figures| {
        let finite = figures.iter().filter(|(_, value)| value.is_finite());
        JsonValue::Object(finite.map(|(name, value)| (name.clone(), (*value).into())).collect())
    };
    let learnt = snapshot.learnt.iter().map(|(of, all)| (of.clone(), figures(all))).collect();
    let left: Vec<JsonValue> = snapshot.left.iter().map(left).collect();
    let whole = object([
        ("instance", snapshot.instance.clone().into()),
        ("life", (snapshot.life as f64).into()),
        ("written_ms", (snapshot.written_ms as f64).into()),
        ("list", listing_json(&snapshot.list)),
        ("told_ms", (snapshot.told_ms as f64).into()),
        ("left", left.into()),
        ("learnt", JsonValue::Object(learnt)),
    ]);
    // Every number in it is finite.
    frame(&whole.stringify().unwrap_or_default())
}

/// The frame around a body: what it is, its format, its length, its checksum.
pub fn frame(body: &str) -> Vec<u8> {
    format!("{MAGIC} {FORMAT} {} {:016x}\n{body}", body.len(), xxh3_64(body.as_bytes())).into_bytes()
}

/// Reads a snapshot, whole or not at all.
pub fn read(bytes: &[u8]) -> Result<Snapshot, Spoilt> {
    if bytes.is_empty() {
        return Err(Spoilt::Empty);
    }
    let end = bytes.iter().take(HEAD).position(|byte| *byte == b'\n').ok_or(Spoilt::Head)?;
    let head = str::from_utf8(&bytes[..end]).map_err(|_| Spoilt::Head)?;
    let words: Vec<&str> = head.split(' ').collect();
    let (format, length, sum) = match words[..] {
        [MAGIC, format, length, sum] => (format, length, sum),
        _ => return Err(Spoilt::Head),
    };
    let format = format.parse().map_err(|_| Spoilt::Head)?;
    if format != FORMAT {
        return Err(Spoilt::Format(format));
    }
    let stated: usize = length.parse().map_err(|_| Spoilt::Head)?;
    let body = &bytes[end + 1..];
    if body.len() != stated {
        return Err(Spoilt::Length { stated, found: body.len() });
    }
    if sum != format!("{:016x}", xxh3_64(body)) {
        return Err(Spoilt::Checksum);
    }
    let json = parse_json(str::from_utf8(body)?)?;
    Ok(content(&JsonField::root(&json))?)
}

fn content(top: &JsonField) -> Result<Snapshot, JsonError> {
    let left = |left: &JsonField| -> Result<Left, JsonError> {
        Ok(Left {
            id: left.field("id")?.string()?.to_owned(),
            started_ms: left.field("started_ms")?.number()?,
            told_ms: left.field("told_ms")?.integer()?,
        })
    };
    let figures = |(of, found): (&String, JsonField)| -> Result<(String, Figures), JsonError> {
        let all = found.fields()?.into_iter().map(|(name, value)| Ok((name.clone(), value.number()?)));
        Ok((of.clone(), all.collect::<Result<_, JsonError>>()?))
    };
    Ok(Snapshot {
        instance: top.field("instance")?.string()?.to_owned(),
        life: top.field("life")?.integer()?,
        written_ms: top.field("written_ms")?.integer()?,
        list: read_listing(&top.field("list")?)?,
        told_ms: top.field("told_ms")?.integer()?,
        left: top.field("left")?.items()?.iter().map(left).collect::<Result<_, _>>()?,
        learnt: top.field("learnt")?.fields()?.into_iter().map(figures).collect::<Result<_, _>>()?,
    })
}
