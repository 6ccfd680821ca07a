//! The heartbeats that control nodes report to each other, because a heartbeat that changes nothing is not
//! published as an entry.

use minicbor::{Decode, Decoder, Encode, Encoder, decode, encode};

/// The last heartbeat that a control node has received from a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReceivedHeartbeat {
    /// Id of the server.
    pub server_id: String,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
}

// Encoded as a pair, as in earlier releases. A derived decoder would also accept longer arrays.

impl<C> Encode<C> for ReceivedHeartbeat {
    fn encode<W: encode::Write>(
        &self,
        encoder: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), encode::Error<W::Error>> {
        (&self.server_id, self.sequence).encode(encoder, context)
    }
}

impl<'b, C> Decode<'b, C> for ReceivedHeartbeat {
    fn decode(decoder: &mut Decoder<'b>, context: &mut C) -> Result<Self, decode::Error> {
        let (server_id, sequence) = Decode::decode(decoder, context)?;
        Ok(ReceivedHeartbeat { server_id, sequence })
    }
}
