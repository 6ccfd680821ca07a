//! A client's connection whose bytes the test sends and reads one step at a time.

use std::net::SocketAddrV4;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{ATTEMPT_ID, HOST, REQUEST_BODY};

/// A client's connection.
pub(crate) struct RawConnection(TcpStream);

impl RawConnection {
    pub(crate) async fn open(proxy: SocketAddrV4) -> Self {
        Self(TcpStream::connect(proxy).await.expect("a connection"))
    }

    pub(crate) async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("sent");
    }

    /// Sends the head of a request with [`REQUEST_BODY`].
    pub(crate) async fn send_head(&mut self, path: &str) {
        let length = REQUEST_BODY.len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {ATTEMPT_ID}\r\nContent-Length: {length}\r\n\r\n"
        );
        self.send(&head).await;
    }

    /// Reads a response's head, and its body if that has a length.
    pub(crate) async fn read_head(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.0.read_u8().await.expect("a head"));
        }
        let head = String::from_utf8(head).expect("text");
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        self.0.read_exact(&mut body).await.expect("a body");
        head
    }

    /// Reads until the proxy closes the connection.
    pub(crate) async fn read_to_end(mut self) -> String {
        let mut received = String::new();
        self.0.read_to_string(&mut received).await.expect("a regular end");
        received
    }
}
