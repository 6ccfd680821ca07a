//! Who a member is, and what is believed of its health.

use core::net::SocketAddrV4;

use minicbor::{CborLen, Decode, Encode};
use quick_error::quick_error;

/// Longest name in bytes.
pub const NAME_MAX: usize = 64;
/// Longest zone in bytes.
pub const ZONE_MAX: usize = 64;

/// A process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of its node; stays over restarts.
    pub name: String,
    /// Drawn at random at each start of the process.
    pub life: u64,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// Whether it belongs to the core.
    pub core: bool,
    /// Its zone.
    pub zone: String,
}

impl Peer {
    pub(crate) fn check(&self) -> Result<(), Error> {
        if self.name.is_empty() || self.name.len() > NAME_MAX {
            return Err(Error::Name(self.name.len()));
        }
        if self.zone.len() > ZONE_MAX {
            return Err(Error::Zone(self.zone.len()));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(Error::Address(self.address));
        }
        Ok(())
    }
}

/// What is believed of a member. The order is that of claims with the same incarnation and life: the higher holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, CborLen)]
#[cbor(index_only)]
pub enum Health {
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

impl Health {
    /// Counted as a member: alive or suspect.
    pub fn lives(self) -> bool {
        matches!(self, Health::Alive | Health::Suspect)
    }
}

quick_error! {
    /// Why a peer can't be a member.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// Its name is empty or too long.
        Name(length: usize) {
            display("701 a name has 1 to {} bytes, this one {}", NAME_MAX, length)
        }
        /// Its zone is too long.
        Zone(length: usize) {
            display("702 a zone has at most {} bytes, this one {}", ZONE_MAX, length)
        }
        /// Nobody could send to its address.
        Address(address: SocketAddrV4) {
            display("703 {} is no address to send to", address)
        }
    }
}
