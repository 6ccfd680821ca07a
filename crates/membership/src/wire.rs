//! Messages between members and their encoding, one message a datagram.

use core::net::SocketAddrV4;

use minicbor::{CborLen, Decode, Encode};

use crate::peer::{MemberState, Peer};

/// Longest datagram in bytes.
pub const MAX_DATAGRAM_LEN: usize = 1_200;

/// Buckets of names, each with a hash of its own, that a sync compares.
pub(crate) const BUCKETS: usize = 64;
/// Bytes of one bucket's hash, a `u32`.
pub(crate) const BUCKET_HASH_LEN: usize = size_of::<u32>();
/// Bytes of the hashes of all buckets.
pub(crate) const BUCKET_HASHES_LEN: usize = BUCKETS * BUCKET_HASH_LEN;

/// Updates with a higher incarnation are malformed, so that there is always a higher one to refute with.
pub(crate) const MAX_INCARNATION: u64 = 1 << 53;

/// Bytes by which the header of an encoded list may grow while updates are added to it.
const LIST_HEADER_GROWTH: usize = 2;

/// The order of updates about one name. A greater version overrides a lesser one, whatever the states are. The derived order
/// compares the fields as they are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UpdateVersion {
    /// Raised by the member itself, to refute.
    pub(crate) incarnation: u64,
    /// Distinguishes instances of one name that have the same incarnation.
    pub(crate) instance_id: u64,
}

/// What a member believes about one name: itself or another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) struct MemberUpdate {
    #[n(0)]
    pub(crate) name: String,
    #[n(1)]
    pub(crate) instance_id: u64,
    #[n(2)]
    pub(crate) incarnation: u64,
    #[n(3)]
    pub(crate) state: MemberState,
    #[n(4)]
    pub(crate) address: SocketAddrV4,
    #[n(5)]
    pub(crate) is_control_node: bool,
    #[n(6)]
    pub(crate) zone: String,
}

impl MemberUpdate {
    pub(crate) fn new(peer: &Peer, incarnation: u64, state: MemberState) -> MemberUpdate {
        MemberUpdate {
            name: peer.name.clone(),
            instance_id: peer.instance_id,
            incarnation,
            state,
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

    pub(crate) fn version(&self) -> UpdateVersion {
        UpdateVersion { incarnation: self.incarnation, instance_id: self.instance_id }
    }

    fn is_valid(&self) -> bool {
        self.incarnation <= MAX_INCARNATION && self.peer().validate().is_ok()
    }
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) enum MessageBody {
    /// Requests an ack. An empty target matches whichever member has the address.
    #[n(0)]
    Ping {
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
    },
    /// The target is alive: sent by the target, or passed on by a member that pinged it on request.
    #[n(1)]
    Ack {
        /// Of the ping or ping-req that this is the response to.
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
    },
    /// Requests that the receiver pings the target and passes its ack on.
    #[n(2)]
    PingRequest {
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
        #[n(2)]
        address: SocketAddrV4,
    },
    /// Requests the updates of those buckets whose hashes differ.
    #[n(3)]
    SyncRequest {
        /// [`BUCKET_HASHES_LEN`] bytes.
        #[cbor(n(0), with = "minicbor::bytes")]
        bucket_hashes: Vec<u8>,
    },
    /// Updates of buckets that differ.
    #[n(4)]
    SyncResponse {
        /// Whether this is the last datagram of the response.
        #[n(0)]
        is_last: bool,
        /// Whether there are more updates than fit into a response.
        #[n(1)]
        has_more: bool,
    },
    /// Carries nothing but updates.
    #[n(5)]
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) struct Message {
    #[n(0)]
    pub(crate) fleet_id: u64,
    /// The sender about itself: alive or left.
    #[n(1)]
    pub(crate) sender: MemberUpdate,
    /// Digest of the live members as the sender knows them.
    #[n(2)]
    pub(crate) digest: u64,
    #[n(3)]
    pub(crate) body: MessageBody,
    /// About other members, or about the receiver.
    #[n(4)]
    pub(crate) updates: Vec<MemberUpdate>,
    /// Number of the live members as the sender knows them.
    #[n(5)]
    pub(crate) live_member_count: u32,
}

impl Message {
    /// Decodes a datagram. `None` if it is malformed, too long or of another fleet.
    pub(crate) fn decode(fleet_id: u64, bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_DATAGRAM_LEN {
            return None;
        }
        let message: Message = minicbor::decode(bytes).ok()?;
        (message.fleet_id == fleet_id && message.is_valid()).then_some(message)
    }

    /// Bytes that are left for updates in a datagram of the maximum length.
    pub(crate) fn remaining_bytes(&self) -> usize {
        MAX_DATAGRAM_LEN.saturating_sub(minicbor::len(self) + LIST_HEADER_GROWTH)
    }

    /// Encodes the message. `None` if it would be too long, which can't be if updates were added as far as
    /// [`Message::remaining_bytes`] allows.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_LEN)
    }

    fn is_valid(&self) -> bool {
        let is_sender_state_valid = matches!(self.sender.state, MemberState::Alive | MemberState::Left);
        let is_body_valid = match &self.body {
            MessageBody::SyncRequest { bucket_hashes } => bucket_hashes.len() == BUCKET_HASHES_LEN,
            _ => true,
        };
        is_sender_state_valid
            && is_body_valid
            && self.sender.is_valid()
            && self.updates.iter().all(MemberUpdate::is_valid)
    }
}
