//! What control nodes report to each other about heartbeats that change nothing.

use minicbor::{Decode, Decoder, Encode, Encoder, decode, encode};

/// The last heartbeat of a server that a control node has received.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReceivedHeartbeat {
    /// Id of the server.
    pub server_id: String,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
}

// Encoded as a pair, like in earlier releases: a derived decoder would accept longer arrays, too.

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
