//! HTTP/1.1 messages as bytes, so that a corrupted message can be sent and a malformed one be recognized.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest head of a message that is read, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The longest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// The most header lines of a head.
const MAX_HEADERS: usize = 64;

/// Which of the two kinds of messages is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request, with a method and a target.
    Request,
    /// A response, with a status.
    Response,
}

/// A message that was received.
#[derive(Debug, Default)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request; empty for a response.
    pub target: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body; empty until it has been received completely.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header of this name; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let has_name = |(known, _): &&(String, String)| known.eq_ignore_ascii_case(name);
        self.headers.iter().find(has_name).map(|(_, value)| value.as_str())
    }

    fn asks_to_close(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// What reading a message came to.
#[derive(Debug)]
pub enum Received {
    /// A complete message.
    Message(Message),
    /// The connection ended between two messages.
    Closed,
    /// The connection ended within a message, or brought bytes that are no message.
    Malformed,
}

/// What lies on a connection that no message is expected on.
#[derive(Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing has been received: the connection can be used again.
    Quiet,
    /// Bytes that nobody asked for.
    UnexpectedBytes,
    /// The end of the connection.
    Closed,
}

/// A connection, with the bytes that were received beyond the last message.
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    closes_after_message: bool,
}

impl HttpConnection {
    /// A connection on which nothing has been read yet.
    pub fn new(stream: TcpStream) -> Self {
        // Without the option messages are later, but still correct.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: BytesMut::new(), closes_after_message: false }
    }

    /// Writes all of these bytes.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends this side of the connection; what the other side sends can still be read.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn end_sending(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Drops the connection with a reset, as the kernel does with those of a process that dies.
    pub fn reset(self) {
        // A connection that has ended already needs no reset.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Whether the last message that was read asked for the connection to be closed.
    pub fn closes_after_message(&self) -> bool {
        self.closes_after_message
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Waits until bytes are there, or the connection has ended; true if bytes are there.
    pub async fn wait_for_bytes(&mut self) -> bool {
        !self.buffer.is_empty() || self.read_more().await.is_ok_and(|count| count > 0)
    }

    /// Looks, without waiting, whether anything was received that nobody asked for.
    pub fn idle_state(&mut self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::UnexpectedBytes;
        }
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::UnexpectedBytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
            Err(_) => IdleState::Closed,
        }
    }

    /// Reads the next message of this kind, with its body.
    pub async fn read_message(&mut self, kind: MessageKind) -> Received {
        let ParsedHead { mut message, body_length, head_length } = loop {
            match parse_head(&self.buffer, kind) {
                Ok(Some(head)) => break head,
                Err(MalformedMessage) => return Received::Malformed,
                Ok(None) if self.buffer.len() > MAX_HEAD_BYTES => return Received::Malformed,
                Ok(None) => match self.read_more().await {
                    Ok(0) | Err(_) if self.buffer.is_empty() => return Received::Closed,
                    Ok(0) | Err(_) => return Received::Malformed,
                    Ok(_) => {}
                },
            }
        };
        self.buffer.advance(head_length);
        if body_length > MAX_BODY_BYTES {
            return Received::Malformed;
        }
        while self.buffer.len() < body_length {
            if !self.read_more().await.is_ok_and(|count| count > 0) {
                return Received::Malformed;
            }
        }
        message.body = self.buffer.split_to(body_length).to_vec();
        self.closes_after_message = message.asks_to_close();
        Received::Message(message)
    }
}

/// The head of a message.
#[derive(Debug)]
pub struct ParsedHead {
    /// The message, without its body.
    pub message: Message,
    /// The length of the body by `Content-Length`, in bytes; 0 without that header.
    pub body_length: usize,
    /// How many bytes the head takes, with the empty line at its end.
    pub head_length: usize,
}

/// Bytes that are no message of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

/// Reads the head at the beginning of these bytes; `None` while it is incomplete.
///
/// # Errors
///
/// The bytes are no head of HTTP/1.1, or the length of the body is ambiguous.
pub fn parse_head(bytes: &[u8], kind: MessageKind) -> Result<Option<ParsedHead>, MalformedMessage> {
    let parsed = match kind {
        MessageKind::Request => parse_request_line(bytes)?,
        MessageKind::Response => parse_status_line(bytes)?,
    };
    let Some((message, head_length)) = parsed else { return Ok(None) };
    let body_length = body_length(&message)?;
    Ok(Some(ParsedHead { message, body_length, head_length }))
}

fn parse_status_line(bytes: &[u8]) -> Result<Option<(Message, usize)>, MalformedMessage> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut lines);
    match head.parse(bytes).map_err(|_| MalformedMessage)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(head_length) => {
            let status = head.code.unwrap_or_default();
            let headers = owned_headers(head.headers);
            Ok(Some((Message { status, headers, ..Message::default() }, head_length)))
        }
    }
}

fn parse_request_line(bytes: &[u8]) -> Result<Option<(Message, usize)>, MalformedMessage> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut lines);
    match head.parse(bytes).map_err(|_| MalformedMessage)? {
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(head_length) => {
            let method = head.method.unwrap_or_default().to_owned();
            let target = head.path.unwrap_or_default().to_owned();
            let headers = owned_headers(head.headers);
            Ok(Some((Message { method, target, headers, ..Message::default() }, head_length)))
        }
    }
}

fn body_length(message: &Message) -> Result<usize, MalformedMessage> {
    // Neither side of the platform sends a body without its length.
    if message.header("transfer-encoding").is_some() {
        return Err(MalformedMessage);
    }
    // Of two lengths nobody can tell which one is meant.
    let lengths = message.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    if lengths.count() > 1 {
        return Err(MalformedMessage);
    }
    match message.header("content-length") {
        Some(length) => length.trim().parse().map_err(|_| MalformedMessage),
        None => Ok(0),
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let owned = |header: &httparse::Header| {
        (header.name.to_owned(), String::from_utf8_lossy(header.value).into_owned())
    };
    headers.iter().map(owned).collect()
}

/// A response as bytes; `extra_headers` are complete lines, each with its line end.
pub fn encode_response(status: u16, extra_headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{extra_headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
