//! The messages between predecessor and successor. Each is one line of text.
//!
//! | sender | line | message |
//! | --- | --- | --- |
//! | successor | `take 1` | [`TAKE_OVER`]: the first line; the number is the version of the protocol |
//! | predecessor | the byte `M` with the listening socket | see [`super::socket`] |
//! | predecessor | `list N`, then N bytes of JSON | the endpoint list, in discovery's form |
//! | predecessor | `grant C S` | [`PredecessorMessage::Grant`] |
//! | predecessor | `stopping` | [`PredecessorMessage::Stopping`] |
//! | successor | `accepting` | [`ACCEPTING`] |
//!
//! Unknown lines are ignored, so that a later version may add messages.

use std::io;

use mosshead_settings::{JsonField, parse_json};
use mosshead_snapshot::server_list::{ServerList, read_server_list};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};

use super::error::HandoverError;
use super::shares::PerSide;

/// The maximum length of a line before the endpoint list.
const MAX_LINE_BYTES: u64 = 64;
/// The maximum length of the endpoint list.
const MAX_LIST_BYTES: u64 = 1024 * 1024;

/// The successor's first line, which requests the listening socket and the list.
pub(super) const TAKE_OVER: &str = "take 1";
/// The successor's line once it accepts client connections.
pub(super) const ACCEPTING: &str = "accepting";

/// The link to the other process of a replacement.
pub(crate) struct HandoverLink {
    pub(super) reader: BufReader<OwnedReadHalf>,
    pub(super) writer: OwnedWriteHalf,
}

impl HandoverLink {
    pub(super) fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self { reader: BufReader::new(reader), writer }
    }

    /// The stream itself, for data other than lines. The other side must not have sent a further line yet.
    pub(super) fn into_stream(self) -> io::Result<UnixStream> {
        self.reader.into_inner().reunite(self.writer).map_err(io::Error::other)
    }

    /// The next line without its line end; none if the link has ended or the line exceeds [`MAX_LINE_BYTES`].
    pub(super) async fn read_line(&mut self) -> io::Result<Option<String>> {
        let mut line = String::new();
        (&mut self.reader).take(MAX_LINE_BYTES).read_line(&mut line).await?;
        Ok(line.strip_suffix('\n').map(str::to_owned))
    }

    /// Sends the endpoint list, as JSON text.
    pub(super) async fn write_list(&mut self, json: &str) -> io::Result<()> {
        self.writer.write_all(format!("list {}\n{json}", json.len()).as_bytes()).await
    }

    /// Receives the endpoint list.
    pub(super) async fn read_list(&mut self) -> Result<ServerList, HandoverError> {
        let line = self.read_line().await?.ok_or(HandoverError::PredecessorEnded)?;
        let length = line.strip_prefix("list ").and_then(|length| length.parse::<u64>().ok());
        let length = length.filter(|length| *length <= MAX_LIST_BYTES).ok_or(HandoverError::NoListLength)?;
        let mut text = vec![0; length as usize];
        self.reader.read_exact(&mut text).await?;
        let json = parse_json(&String::from_utf8(text)?)?;
        Ok(read_server_list(&JsonField::root(&json))?)
    }
}

/// A line of the predecessor, after the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PredecessorMessage {
    /// This many more descriptors of each side belong to the successor.
    Grant(PerSide<usize>),
    /// The predecessor is stopping: the successor is to accept connections at once.
    Stopping,
}

impl PredecessorMessage {
    /// Parses a line; returns none if it is unknown. An invalid number counts as 0.
    pub(super) fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        match (words.next(), words.next(), words.next()) {
            (Some("grant"), Some(client), Some(server)) => {
                let number = |word: &str| word.parse().unwrap_or(0);
                Some(Self::Grant(PerSide { client: number(client), server: number(server) }))
            }
            (Some("stopping"), ..) => Some(Self::Stopping),
            _ => None,
        }
    }

    /// The line, with its end.
    pub(super) fn to_line(self) -> String {
        match self {
            Self::Grant(PerSide { client, server }) => format!("grant {client} {server}\n"),
            Self::Stopping => "stopping\n".to_owned(),
        }
    }
}
