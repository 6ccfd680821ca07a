//! The kinds of requests that take a proxy's memory.

use std::net::SocketAddrV4;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::bulk_server::{ANSWER_PATH, MAX_BODY_BYTES, STREAM_PATH, UPLOAD_PATH};
use crate::operator::HOST;

/// After this a request has failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(25);
/// The shortest body of an upload.
const MIN_BODY_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;
/// How long a client stalls.
const STALL_TIME: Duration = Duration::from_secs(8);
/// What a slow reader reads at once, and its pause after that.
const SLOW_READ_BYTES: usize = 16 * 1024;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(100);
/// Each kind with its weight.
const KINDS: [(Kind, u32); 5] = [
    (Kind::Upload, 3),
    (Kind::ChunkedUpload, 3),
    (Kind::LongAnswer, 2),
    (Kind::SlowStream, 4),
    (Kind::StalledUpload, 1),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A body with a length.
    Upload,
    /// A body in chunks.
    ChunkedUpload,
    /// An answer of some MB, read slowly.
    LongAnswer,
    /// A stream that is read slowly.
    SlowStream,
    /// A body of which only the beginning comes.
    StalledUpload,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Served,
    Refused,
    Failed,
    Stalled,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Traffic {
    kind: Kind,
    body_bytes: usize,
}

impl Traffic {
    pub(super) fn draw(random: &mut Pcg64Mcg) -> Traffic {
        let kind =
            KINDS.choose_weighted(random, |(_, weight)| *weight).map_or(Kind::Upload, |(kind, _)| *kind);
        Traffic { kind, body_bytes: random.random_range(MIN_BODY_BYTES..=MAX_BODY_BYTES) }
    }

    /// Sends the request on a connection of its own.
    pub(super) async fn send(self, proxy: SocketAddrV4, attempt_id: u64) -> Outcome {
        if self.kind == Kind::StalledUpload {
            let _ = self.stall(proxy, attempt_id).await;
            return Outcome::Stalled;
        }
        match timeout(REQUEST_TIMEOUT, self.exchange(proxy, attempt_id)).await {
            Ok(Ok(response)) => outcome_of(&response),
            Ok(Err(_)) | Err(_) => Outcome::Failed,
        }
    }

    fn head(self, attempt_id: u64) -> String {
        let (path, framing) = match self.kind {
            Kind::Upload | Kind::StalledUpload => {
                (UPLOAD_PATH, format!("Content-Length: {}", self.body_bytes))
            }
            Kind::ChunkedUpload => (UPLOAD_PATH, "Transfer-Encoding: chunked".to_owned()),
            Kind::LongAnswer => (ANSWER_PATH, "Content-Length: 0".to_owned()),
            Kind::SlowStream => (STREAM_PATH, "Content-Length: 0".to_owned()),
        };
        format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt_id:016x}\r\nX-Deadline-Ms: 20000\r\n\
             Connection: close\r\n{framing}\r\n\r\n"
        )
    }

    async fn stall(self, proxy: SocketAddrV4, attempt_id: u64) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(proxy).await?;
        stream.write_all(self.head(attempt_id).as_bytes()).await?;
        stream.write_all(&[b'x'; MIN_BODY_BYTES / 2]).await?;
        sleep(STALL_TIME).await;
        Ok(())
    }

    /// Returns the bytes of the response.
    async fn exchange(self, proxy: SocketAddrV4, attempt_id: u64) -> std::io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect(proxy).await?;
        stream.write_all(self.head(attempt_id).as_bytes()).await?;
        // A refusal may come before the whole body was taken.
        let _ = self.write_body(&mut stream).await;
        let mut response = Vec::new();
        let mut part = vec![0; SLOW_READ_BYTES];
        loop {
            let count = stream.read(&mut part).await?;
            if count == 0 {
                return Ok(response);
            }
            response.extend_from_slice(&part[..count]);
            if matches!(self.kind, Kind::SlowStream | Kind::LongAnswer) {
                sleep(SLOW_READ_PAUSE).await;
            }
        }
    }

    async fn write_body(self, stream: &mut TcpStream) -> std::io::Result<()> {
        let chunk = vec![b'x'; CHUNK_BYTES];
        let has_body = matches!(self.kind, Kind::Upload | Kind::ChunkedUpload);
        let mut left = if has_body { self.body_bytes } else { 0 };
        while left > 0 {
            let count = left.min(CHUNK_BYTES);
            if self.kind == Kind::ChunkedUpload {
                stream.write_all(format!("{count:x}\r\n").as_bytes()).await?;
            }
            stream.write_all(&chunk[..count]).await?;
            if self.kind == Kind::ChunkedUpload {
                stream.write_all(b"\r\n").await?;
            }
            left -= count;
        }
        if self.kind == Kind::ChunkedUpload { stream.write_all(b"0\r\n\r\n").await } else { Ok(()) }
    }
}

/// The outcome of a request with this response.
fn outcome_of(response: &[u8]) -> Outcome {
    if response.starts_with(b"HTTP/1.1 503 ") {
        return Outcome::Refused;
    }
    let head_end = response.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(head_end) = head_end.filter(|_| response.starts_with(b"HTTP/1.1 200 ")) else {
        return Outcome::Failed;
    };
    let head = String::from_utf8_lossy(&response[..head_end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
    let is_complete = match length {
        Some(length) => response.len() == head_end + 4 + length,
        None => response.ends_with(b"\r\n0\r\n\r\n"),
    };
    if is_complete { Outcome::Served } else { Outcome::Failed }
}
