//! HTTP/1.1 as it is: heads as bytes, so that a spoilt one can be sent and a strange one told from a sound one.

use std::io;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// No head is longer, no body, and no head has more lines.
const HEAD_LIMIT: usize = 32 * 1024;
const BODY_LIMIT: usize = 1024 * 1024;
const LINES: usize = 64;

/// A message as it came.
#[derive(Debug, Default)]
pub struct Message {
    /// The method of a request; empty for an answer.
    pub method: String,
    /// The target of a request.
    pub target: String,
    /// The status of an answer.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let of = |(known, _): &&(String, String)| known.eq_ignore_ascii_case(name);
        self.headers.iter().find(of).map(|(_, value)| value.as_str())
    }

    fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// How reading a message ended.
#[derive(Debug)]
pub enum Came {
    /// A whole one.
    Message(Message),
    /// It ended between two messages.
    Closed,
    /// It ended within one, or brought what is none.
    Broken,
}

/// A connection and what has come on it beyond the last message.
pub struct Wire {
    /// The connection.
    pub stream: TcpStream,
    buffer: BytesMut,
    /// The last message asked for the connection to be closed.
    pub closes: bool,
}

impl Wire {
    /// A fresh connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: BytesMut::new(), closes: false }
    }

    /// Writes all of these bytes.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    async fn more(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Waits for bytes or the end; true if bytes are there.
    pub async fn stirs(&mut self) -> bool {
        !self.buffer.is_empty() || self.more().await.is_ok_and(|count| count > 0)
    }

    /// Whether bytes have come that nobody asked for, or the end has. Does not wait.
    pub fn leftover(&mut self) -> Leftover {
        if !self.buffer.is_empty() {
            return Leftover::Bytes;
        }
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => Leftover::End,
            Ok(_) => Leftover::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Leftover::Nothing,
            Err(_) => Leftover::End,
        }
    }

    /// The next request, or the next answer.
    pub async fn read(&mut self, answer: bool) -> Came {
        let (mut message, length) = loop {
            match parse(&self.buffer, answer) {
                Ok(Some((message, taken))) => {
                    self.buffer.advance(taken);
                    break message;
                }
                Err(NoMessage) => return Came::Broken,
                Ok(None) if self.buffer.len() > HEAD_LIMIT => return Came::Broken,
                Ok(None) => match self.more().await {
                    Ok(0) | Err(_) if self.buffer.is_empty() => return Came::Closed,
                    Ok(0) | Err(_) => return Came::Broken,
                    Ok(_) => {}
                },
            }
        };
        if length > BODY_LIMIT {
            return Came::Broken;
        }
        while self.buffer.len() < length {
            if !self.more().await.is_ok_and(|count| count > 0) {
                return Came::Broken;
            }
        }
        message.body = self.buffer.split_to(length).to_vec();
        self.closes = message.closes();
        Came::Message(message)
    }
}

/// What lies on a connection that should be quiet.
#[derive(Debug, PartialEq, Eq)]
pub enum Leftover {
    /// It is quiet.
    Nothing,
    /// Bytes that nobody asked for.
    Bytes,
    /// Its end.
    End,
}

/// A message without its body, the body's length, and how many bytes the head takes; nothing while it is not whole.
pub type Parsed = Result<Option<((Message, usize), usize)>, NoMessage>;

/// Bytes that are no message of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMessage;

/// Reads the head that stands at the beginning of these bytes.
///
/// # Errors
///
/// The bytes are no head of HTTP/1.1.
pub fn parse(bytes: &[u8], answer: bool) -> Parsed {
    let mut lines = [httparse::EMPTY_HEADER; LINES];
    let (mut message, taken) = if answer {
        let mut head = httparse::Response::new(&mut lines);
        match head.parse(bytes).map_err(|_| NoMessage)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(taken) => {
                let status = head.code.unwrap_or_default();
                (Message { status, headers: headers(head.headers), ..Message::default() }, taken)
            }
        }
    } else {
        let mut head = httparse::Request::new(&mut lines);
        match head.parse(bytes).map_err(|_| NoMessage)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(taken) => {
                let (method, target) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
                let (method, target) = (method.to_owned(), target.to_owned());
                (Message { method, target, headers: headers(head.headers), ..Message::default() }, taken)
            }
        }
    };
    // Neither side of the platform sends a body without its length.
    if message.header("transfer-encoding").is_some() {
        return Err(NoMessage);
    }
    // Of two lengths nobody can tell which holds.
    let lengths = message.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    if lengths.count() > 1 {
        return Err(NoMessage);
    }
    let length = match message.header("content-length") {
        Some(length) => length.trim().parse().map_err(|_| NoMessage)?,
        None => 0,
    };
    message.body = Vec::new();
    Ok(Some(((message, length), taken)))
}

fn headers(lines: &[httparse::Header]) -> Vec<(String, String)> {
    let line =
        |line: &httparse::Header| (line.name.to_owned(), String::from_utf8_lossy(line.value).into_owned());
    lines.iter().map(line).collect()
}

/// An answer, as bytes.
pub fn answer(status: u16, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{extra}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
