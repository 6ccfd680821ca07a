//! What a node reports in response to a heartbeat.

use crate::lease_stamp::LeaseStamp;
use crate::message::Message;
use crate::term::Term;

/// The content of a [`Message::HeartbeatResponse`]; its fields are described there.
///
/// The message does not contain this struct because its fields would be one array deeper on the wire.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatResponse {
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) promised: Term,
    pub(crate) accepted_term: Term,
    pub(crate) known_term: Term,
    pub(crate) committed_revision: Option<u64>,
    pub(crate) is_healthy: bool,
    pub(crate) lease_stamp: LeaseStamp,
}

impl HeartbeatResponse {
    /// The content of a message, if it is a heartbeat response.
    pub(crate) fn from_message(message: &Message) -> Option<HeartbeatResponse> {
        let Message::HeartbeatResponse {
            term,
            sequence,
            promised,
            accepted_term,
            known_term,
            committed_revision,
            is_healthy,
            lease_stamp,
        } = *message
        else {
            return None;
        };
        Some(HeartbeatResponse {
            term,
            sequence,
            promised,
            accepted_term,
            known_term,
            committed_revision,
            is_healthy,
            lease_stamp,
        })
    }
}
