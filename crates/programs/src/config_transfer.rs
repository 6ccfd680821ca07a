//! The transfer of a configuration from a control node to a proxy. The configuration is compressed, and the receiver
//! requests it chunk by chunk.
//!
//! A large configuration takes longer on a slow link than the timeout of one call allows. Each chunk therefore has
//! its own timeout, so that a transfer fails only if the sender stops responding. This module does no I/O and reads
//! no clock.

mod chunk;
mod incoming;
mod offer_message;
mod outgoing;

pub use self::chunk::{CHUNK_BYTES, ChunkRequest, ConfigChunk};
pub use self::incoming::{IncomingTransfer, TransferProgress};
pub use self::offer_message::ConfigOfferMessage;
pub use self::outgoing::OutgoingTransfers;
