//! Parses the raw bytes of a client connection to detect messages that state two lengths.
//!
//! With both `Content-Length` and `Transfer-Encoding`, a second message may be hidden in the body (request smuggling).
//! Hyper drops `Content-Length` if it follows `Transfer-Encoding`, so the heads are parsed here as well.

use std::collections::VecDeque;

/// The maximum length of a head; hyper rejects longer ones, too.
const MAX_HEAD_BYTES: usize = 32 * 1024;
const MAX_HEADERS: usize = 128;

/// The part of a message that the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Position {
    #[default]
    Head,
    /// A body of a stated length, with the number of bytes that are left.
    Body { left: u64 },
    /// The size line before a chunk: the size so far, and true if the next byte may be another digit.
    ChunkSize { size: u64, in_digits: bool },
    /// The data of a chunk, with the number of bytes that are left.
    Chunk { left: u64 },
    /// The line end after a chunk.
    ChunkEnd,
    /// A trailer line after the last chunk, with the number of its bytes so far.
    Trailers { line_len: u32 },
    /// The bytes are not HTTP; hyper rejects them.
    Invalid,
}

/// The position of a connection within its messages.
#[derive(Debug, Default)]
pub struct RequestFraming {
    position: Position,
    /// The bytes of the current head so far.
    head: Vec<u8>,
    /// For each complete head that has not been queried yet, true if it states both framings.
    heads_with_both_framings: VecDeque<bool>,
}

impl RequestFraming {
    /// True if the next message states both framings, or if that is not known.
    pub fn next_has_both_framings(&mut self) -> bool {
        self.heads_with_both_framings.pop_front().unwrap_or(true)
    }

    /// Where the next byte belongs.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The number of complete heads that have not been queried yet.
    pub fn pending_heads(&self) -> usize {
        self.heads_with_both_framings.len()
    }

    /// Reads received bytes, which may be split at any point.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let [first, rest @ ..] = bytes {
            bytes = match self.position {
                Position::Invalid => return,
                Position::Body { left } => {
                    let taken = left.min(bytes.len() as u64);
                    let left = left - taken;
                    self.position = if left == 0 { Position::Head } else { Position::Body { left } };
                    &bytes[taken as usize..]
                }
                Position::Chunk { left } => {
                    let taken = left.min(bytes.len() as u64);
                    let left = left - taken;
                    self.position = if left == 0 { Position::ChunkEnd } else { Position::Chunk { left } };
                    &bytes[taken as usize..]
                }
                Position::Head
                | Position::ChunkSize { .. }
                | Position::ChunkEnd
                | Position::Trailers { .. } => {
                    self.position = self.position_after(*first);
                    rest
                }
            };
        }
    }

    /// The position after a byte that is not part of a body.
    fn position_after(&mut self, byte: u8) -> Position {
        match (self.position, byte) {
            (Position::Head, b'\r' | b'\n') if self.head.is_empty() => Position::Head,
            (Position::Head, byte) => self.position_after_head_byte(byte),
            (Position::ChunkSize { size: 0, .. }, b'\n') => Position::Trailers { line_len: 0 },
            (Position::ChunkSize { size, .. }, b'\n') => Position::Chunk { left: size },
            (Position::ChunkSize { size, in_digits: true }, digit) => match (digit as char).to_digit(16) {
                Some(digit) if size < 1 << 56 => {
                    Position::ChunkSize { size: size * 16 + u64::from(digit), in_digits: true }
                }
                Some(_) => Position::Invalid,
                None => Position::ChunkSize { size, in_digits: false },
            },
            (Position::ChunkEnd, b'\n') => Position::ChunkSize { size: 0, in_digits: true },
            (Position::Trailers { line_len: 0 }, b'\n') => Position::Head,
            (Position::Trailers { .. }, b'\n') => Position::Trailers { line_len: 0 },
            (Position::Trailers { line_len }, b'\r') => Position::Trailers { line_len },
            (Position::Trailers { line_len }, _) => {
                Position::Trailers { line_len: line_len.saturating_add(1) }
            }
            (position, _) => position,
        }
    }

    fn position_after_head_byte(&mut self, byte: u8) -> Position {
        self.head.push(byte);
        let is_complete = byte == b'\n' && (self.head.ends_with(b"\n\r\n") || self.head.ends_with(b"\n\n"));
        if is_complete {
            self.position_after_head()
        } else if self.head.len() > MAX_HEAD_BYTES {
            Position::Invalid
        } else {
            Position::Head
        }
    }

    /// Parses a complete head and records whether it states both framings.
    fn position_after_head(&mut self) -> Position {
        let head = std::mem::take(&mut self.head);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if !matches!(request.parse(&head), Ok(httparse::Status::Complete(_))) {
            return Position::Invalid;
        }
        let header =
            |name: &str| request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        let (is_chunked, length) = (header("transfer-encoding").is_some(), header("content-length"));
        self.heads_with_both_framings.push_back(is_chunked && length.is_some());
        if is_chunked {
            return Position::ChunkSize { size: 0, in_digits: true };
        }
        let Some(length) = length else { return Position::Head };
        let length = str::from_utf8(length.value).ok().and_then(|length| length.trim().parse().ok());
        match length {
            Some(0) => Position::Head,
            Some(left) => Position::Body { left },
            None => Position::Invalid,
        }
    }
}
