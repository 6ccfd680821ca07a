//! The wire format of the messages between members, one message in each datagram.

use core::net::SocketAddrV4;

use minicbor::{CborLen, Decode, Encode};

use crate::peer::{MemberState, Peer};

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 1_200;

/// The number of buckets of names. A sync compares their hashes.
pub(crate) const BUCKETS: usize = 64;
/// The length of a bucket's hash (a `u32`), in bytes.
pub(crate) const BUCKET_HASH_LEN: usize = size_of::<u32>();
/// The length of the hashes of all buckets, in bytes.
pub(crate) const BUCKET_HASHES_LEN: usize = BUCKETS * BUCKET_HASH_LEN;

/// The maximum incarnation. Updates with a higher one are malformed, so that a refutation never overflows.
pub(crate) const MAX_INCARNATION: u64 = 1 << 53;

/// The number of bytes by which the header of the encoded list may grow while updates are added.
const LIST_HEADER_GROWTH: usize = 2;

/// The order of updates about one name. A greater version overrides a smaller one, regardless of their states. The
/// derived order depends on the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct UpdateVersion {
    /// Raised only by the member itself, to refute updates about it.
    pub(crate) incarnation: u64,
    /// Distinguishes instances of one name that have the same incarnation.
    pub(crate) instance_id: u64,
}

/// The state of one member, as the sender knows it.
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

/// The type of a message, with its specific fields.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) enum MessageBody {
    /// Requests an ack. An empty target matches any member at the address.
    #[n(0)]
    Ping {
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
    },
    /// Confirms that the target is alive. Sent by the target, or forwarded by a member that pinged it on request.
    #[n(1)]
    Ack {
        /// The sequence number of the ping or ping-req that this message responds to.
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
    },
    /// Requests that the receiver pings the target and forwards its ack.
    #[n(2)]
    PingRequest {
        #[n(0)]
        sequence: u32,
        #[n(1)]
        target: String,
        #[n(2)]
        address: SocketAddrV4,
    },
    /// Requests the updates of the buckets whose hashes differ.
    #[n(3)]
    SyncRequest {
        /// The hashes of all buckets, [`BUCKET_HASHES_LEN`] bytes long.
        #[cbor(n(0), with = "minicbor::bytes")]
        bucket_hashes: Vec<u8>,
    },
    /// Contains updates of the buckets that differ.
    #[n(4)]
    SyncResponse {
        /// True in the last datagram of the response.
        #[n(0)]
        is_last: bool,
        /// True if there are more updates than fit into the response.
        #[n(1)]
        has_more: bool,
    },
    /// Contains only updates.
    #[n(5)]
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode, CborLen)]
pub(crate) struct Message {
    #[n(0)]
    pub(crate) fleet_id: u64,
    /// The sender's update about itself: alive or left.
    #[n(1)]
    pub(crate) sender: MemberUpdate,
    /// The digest of the live members that the sender knows.
    #[n(2)]
    pub(crate) digest: u64,
    #[n(3)]
    pub(crate) body: MessageBody,
    /// Updates about other members, or about the receiver.
    #[n(4)]
    pub(crate) updates: Vec<MemberUpdate>,
    /// The number of live members that the sender knows.
    #[n(5)]
    pub(crate) live_member_count: u32,
}

impl Message {
    /// Decodes a datagram. Returns `None` if it is malformed, too long or of another fleet.
    pub(crate) fn decode(fleet_id: u64, bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_DATAGRAM_LEN {
            return None;
        }
        let message: Message = minicbor::decode(bytes).ok()?;
        (message.fleet_id == fleet_id && message.is_valid()).then_some(message)
    }

    /// The number of bytes left for updates in a datagram of the maximum length.
    pub(crate) fn remaining_bytes(&self) -> usize {
        MAX_DATAGRAM_LEN.saturating_sub(minicbor::len(self) + LIST_HEADER_GROWTH)
    }

    /// Encodes the message. Returns `None` if it is too long, which is impossible if the added updates are within
    /// [`Message::remaining_bytes`].
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
