//! What the host is to send.

use core::net::SocketAddrV4;

/// A datagram that the host is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to send it.
    pub destination: SocketAddrV4,
    /// Its content, at most [`MAX_DATAGRAM_LEN`](crate::MAX_DATAGRAM_LEN) bytes.
    pub payload: Vec<u8>,
}
