//! The identity of a member, and the states that it can be in.

use core::net::SocketAddrV4;

use minicbor::{CborLen, Decode, Encode};
use quick_error::quick_error;

/// Longest name in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// Longest zone in bytes.
pub const MAX_ZONE_LEN: usize = 64;

/// A process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its machine. It identifies the member and is the same after a restart; 1 to [`MAX_NAME_LEN`] bytes.
    pub name: String,
    /// Identifies one run of the process: a random number drawn at each start.
    pub instance_id: u64,
    /// Where it receives datagrams.
    pub address: SocketAddrV4,
    /// Whether it is a control node; otherwise it is a proxy.
    pub is_control_node: bool,
    /// The zone that it runs in; at most [`MAX_ZONE_LEN`] bytes.
    pub zone: String,
}

impl Peer {
    /// Checks that others can name this peer and send to it.
    ///
    /// # Errors
    ///
    /// The name or the zone has a length out of bounds, or the address has no IP address or no port.
    pub(crate) fn validate(&self) -> Result<(), PeerError> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_LEN {
            return Err(PeerError::InvalidName(self.name.len()));
        }
        if self.zone.len() > MAX_ZONE_LEN {
            return Err(PeerError::ZoneTooLong(self.zone.len()));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(PeerError::UnreachableAddress(self.address));
        }
        Ok(())
    }
}

/// What is believed about a member. Of two updates with the same incarnation and instance the one with the greater state
/// takes precedence, so the order of the variants is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, CborLen)]
#[cbor(index_only)]
pub enum MemberState {
    /// It is not suspected.
    #[n(0)]
    Alive,
    /// It didn't respond to a probe and may still refute.
    #[n(1)]
    Suspect,
    /// It didn't refute in time.
    #[n(2)]
    Dead,
    /// It announced its own shutdown.
    #[n(3)]
    Left,
}

impl MemberState {
    /// Whether it counts as a member: alive or suspect.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

quick_error! {
    /// Why a peer can't be a member.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum PeerError {
        /// Its name is empty or too long.
        InvalidName(length: usize) {
            display("701 a name has 1 to {} bytes, this one {}", MAX_NAME_LEN, length)
        }
        /// Its zone is too long.
        ZoneTooLong(length: usize) {
            display("702 a zone has at most {} bytes, this one {}", MAX_ZONE_LEN, length)
        }
        /// Nobody could send to its address.
        UnreachableAddress(address: SocketAddrV4) {
            display("703 {} is no address to send to", address)
        }
    }
}
