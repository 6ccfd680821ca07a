//! The datagrams that the protocol returns to its host.

use core::net::SocketAddrV4;

/// A datagram for the host to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to send it.
    pub destination: SocketAddrV4,
    /// The encoded message, at most [`MAX_DATAGRAM_LEN`](crate::MAX_DATAGRAM_LEN) bytes long.
    pub payload: Vec<u8>,
}
