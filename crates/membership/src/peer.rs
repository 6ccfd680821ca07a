//! The identity and the states of a member.

use core::net::SocketAddrV4;

use minicbor::{CborLen, Decode, Encode};
use quick_error::quick_error;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// The maximum length of a zone, in bytes.
pub const MAX_ZONE_LEN: usize = 64;

/// The identity of a process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name of the machine, 1 to [`MAX_NAME_LEN`] bytes long. It identifies the member, and stays the same after a
    /// restart.
    pub name: String,
    /// Identifies one run of the process by a random number, drawn at each start.
    pub instance_id: u64,
    /// The address at which it receives datagrams.
    pub address: SocketAddrV4,
    /// True for a control node, false for a proxy.
    pub is_control_node: bool,
    /// The zone of the machine, at most [`MAX_ZONE_LEN`] bytes long.
    pub zone: String,
}

impl Peer {
    /// Checks the lengths of name and zone, and that the address can be reached.
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

/// The state of a member, as another one knows it. Of two updates with the same incarnation and instance, the greater
/// state takes precedence, so the order of the variants is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, CborLen)]
#[cbor(index_only)]
pub enum MemberState {
    /// The member is not suspected.
    #[n(0)]
    Alive,
    /// The member did not respond to a probe, and may still refute the suspicion.
    #[n(1)]
    Suspect,
    /// The member did not refute a suspicion in time.
    #[n(2)]
    Dead,
    /// The member has announced its shutdown.
    #[n(3)]
    Left,
}

impl MemberState {
    /// True if the member is alive or suspect.
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
        /// Its address has no IP address or no port.
        UnreachableAddress(address: SocketAddrV4) {
            display("703 {} is no address to send to", address)
        }
    }
}
