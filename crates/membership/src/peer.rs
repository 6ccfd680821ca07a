//! Who a member is, and what is believed of its health.

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
    /// Name of its node; stays over restarts.
    pub name: String,
    /// Drawn at random at each start of the process.
    pub instance_id: u64,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// Whether it belongs to the core.
    pub is_control_node: bool,
    /// Its zone.
    pub zone: String,
}

impl Peer {
    pub(crate) fn check(&self) -> Result<(), PeerError> {
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

/// What is believed of a member. The order is that of claims with the same incarnation and instance_id: the higher holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, CborLen)]
#[cbor(index_only)]
pub enum MemberState {
    /// Answers, or was heard of lately.
    #[n(0)]
    Alive,
    /// Didn't answer; has time to refute.
    #[n(1)]
    Suspect,
    /// Didn't refute in time.
    #[n(2)]
    Dead,
    /// Told of its own planned end.
    #[n(3)]
    Left,
}

impl MemberState {
    /// Counted as a member: alive or suspect.
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
