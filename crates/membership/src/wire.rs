//! Datagram.

use core::net::SocketAddrV4;

use minicbor::{CborLen, Decode, Encode};

use crate::peer::{MemberState, Peer};

/// Longest datagram in bytes.
pub const MAX_DATAGRAM_LEN: usize = 1_200;

/// Bytes of the table of parts: 64 hashes of 4 bytes.
pub(crate) const TABLE_BYTES: usize = 256;

/// Claims above this are taken for garbage, so that there is always room to refute.
pub(crate) const INCARNATION_MAX: u64 = 1 << 53;

/// What somebody believes of one name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) struct Claim {
    #[n(0)]
    pub name: String,
    #[n(1)]
    pub instance_id: u64,
    #[n(2)]
    pub incarnation: u64,
    #[n(3)]
    pub health: MemberState,
    #[n(4)]
    pub address: SocketAddrV4,
    #[n(5)]
    pub is_control_node: bool,
    #[n(6)]
    pub zone: String,
}

impl Claim {
    pub(crate) fn of(peer: &Peer, incarnation: u64, health: MemberState) -> Claim {
        Claim {
            name: peer.name.clone(),
            instance_id: peer.instance_id,
            incarnation,
            health,
            address: peer.address,
            is_control_node: peer.is_control_node,
            zone: peer.zone.clone(),
        }
    }

    pub(crate) fn peer(&self) -> Peer {
        Peer {
            name: self.name.clone(),
            instance_id: self.instance_id,
            address: self.address,
            is_control_node: self.is_control_node,
            zone: self.zone.clone(),
        }
    }

    pub(crate) fn key(&self) -> (u64, u64) {
        (self.incarnation, self.instance_id)
    }

    fn sound(&self) -> bool {
        self.incarnation <= INCARNATION_MAX && self.peer().check().is_ok()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) enum Body {
    /// Are you there? An empty target is whoever has the address.
    #[n(0)]
    Ping {
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
    },
    /// `target` is there, also said by a helper for it.
    #[n(1)]
    Ack {
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
    },
    /// Ask it for me.
    #[n(2)]
    PingRequest {
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
        #[n(2)]
        address: SocketAddrV4,
    },
    /// What do you know that I don't? With hashes of the parts of what I know.
    #[n(3)]
    Ask {
        #[cbor(n(0), with = "minicbor::bytes")]
        table: Vec<u8>,
    },
    /// Claims of parts that differ.
    #[n(4)]
    Page {
        /// The last datagram of this answer.
        #[n(0)]
        last: bool,
        /// There were more than fit into an answer.
        #[n(1)]
        more: bool,
    },
    /// Only what rides on it.
    #[n(5)]
    Tell,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) struct Frame {
    #[n(0)]
    pub fleet: u64,
    #[n(1)]
    pub sender: Claim,
    /// Of those whom the sender takes for living.
    #[n(2)]
    pub digest: u64,
    #[n(3)]
    pub body: Body,
    #[n(4)]
    pub claims: Vec<Claim>,
    /// How many these are.
    #[n(5)]
    pub size: u32,
}

impl Frame {
    /// `None` for garbage, too much, or another fleet.
    pub(crate) fn read(fleet: u64, bytes: &[u8]) -> Option<Frame> {
        if bytes.len() > MAX_DATAGRAM_LEN {
            return None;
        }
        let frame: Frame = minicbor::decode(bytes).ok()?;
        let told = matches!(frame.sender.health, MemberState::Alive | MemberState::Left);
        let body = match &frame.body {
            Body::Ask { table } => table.len() == TABLE_BYTES,
            _ => true,
        };
        let sound = told && body && frame.sender.sound() && frame.claims.iter().all(Claim::sound);
        (sound && frame.fleet == fleet).then_some(frame)
    }

    /// Bytes left for claims.
    pub(crate) fn room(&self) -> usize {
        // The header of the list grows by 2 bytes at most.
        MAX_DATAGRAM_LEN.saturating_sub(minicbor::len(self) + 2)
    }

    /// `None` if it would be too long, which nobody who fills by `room` sees.
    pub(crate) fn write(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_LEN)
    }
}
