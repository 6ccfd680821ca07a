//! Follows the raw bytes of a client's connection from head to head.
//!
//! Hyper hides a `Content-Length` that stands behind `Transfer-Encoding`, and where both are given a second
//! message may hide in the body. This looks into each head itself.

use std::collections::VecDeque;

/// A head that is longer is none; hyper turns it down too.
const MAX_HEAD_BYTES: usize = 32 * 1024;
const MAX_HEADERS: usize = 128;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Position {
    #[default]
    Head,
    Body(u64),
    /// The line before a chunk: its size so far, and whether its digits go on.
    Size(u64, bool),
    Chunk(u64),
    /// The line's end behind a chunk.
    End,
    /// Lines behind the last chunk; so many bytes stand in this one.
    Trailers(u32),
    /// It makes no sense; hyper will say so.
    Lost,
}

/// Where in its messages a connection is.
#[derive(Debug, Default)]
pub struct RequestFraming {
    pub at: Position,
    head: Vec<u8>,
    /// For each head that has come: whether it states both framings.
    pub heads: VecDeque<bool>,
}

impl RequestFraming {
    /// Whether the next message states both framings; where that is not known it is taken for granted.
    pub fn next_has_both_framings(&mut self) -> bool {
        self.heads.pop_front().unwrap_or(true)
    }

    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let [first, rest @ ..] = bytes {
            bytes = match self.at {
                Position::Lost => return,
                Position::Body(left) | Position::Chunk(left) => {
                    let take = left.min(bytes.len() as u64);
                    let left = left - take;
                    self.at = match self.at {
                        Position::Body(_) if left == 0 => Position::Head,
                        Position::Body(_) => Position::Body(left),
                        _ if left == 0 => Position::End,
                        _ => Position::Chunk(left),
                    };
                    &bytes[take as usize..]
                }
                _ => {
                    self.byte(*first);
                    rest
                }
            };
        }
    }

    fn byte(&mut self, byte: u8) {
        self.at = match (self.at, byte) {
            (Position::Head, b'\r' | b'\n') if self.head.is_empty() => Position::Head,
            (Position::Head, byte) => {
                self.head.push(byte);
                let ends = byte == b'\n' && (self.head.ends_with(b"\n\r\n") || self.head.ends_with(b"\n\n"));
                match () {
                    () if ends => self.headers(),
                    () if self.head.len() > MAX_HEAD_BYTES => Position::Lost,
                    () => Position::Head,
                }
            }
            (Position::Size(0, _), b'\n') => Position::Trailers(0),
            (Position::Size(size, _), b'\n') => Position::Chunk(size),
            (Position::Size(size, true), digit) => match (digit as char).to_digit(16) {
                Some(digit) if size < 1 << 56 => Position::Size(size * 16 + u64::from(digit), true),
                Some(_) => Position::Lost,
                None => Position::Size(size, false),
            },
            (Position::End, b'\n') => Position::Size(0, true),
            (Position::Trailers(0), b'\n') => Position::Head,
            (Position::Trailers(_), b'\n') => Position::Trailers(0),
            (Position::Trailers(held), b'\r') => Position::Trailers(held),
            (Position::Trailers(held), _) => Position::Trailers(held.saturating_add(1)),
            (at, _) => at,
        };
    }

    /// What follows a head that is whole.
    fn headers(&mut self) -> Position {
        let head = std::mem::take(&mut self.head);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if !matches!(request.parse(&head), Ok(httparse::Status::Complete(_))) {
            return Position::Lost;
        }
        let value = |name: &str| request.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        let (chunked, length) = (value("transfer-encoding").is_some(), value("content-length"));
        self.heads.push_back(chunked && length.is_some());
        let length = length.map(|length| str::from_utf8(length.value).ok()?.trim().parse().ok());
        match (chunked, length) {
            (true, _) => Position::Size(0, true),
            (false, None | Some(Some(0))) => Position::Head,
            (false, Some(Some(length))) => Position::Body(length),
            (false, Some(None)) => Position::Lost,
        }
    }
}
