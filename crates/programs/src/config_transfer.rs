//! The transfer of a configuration from a control node to a proxy: compressed, in chunks that the receiver requests one
//! after the other.
//!
//! A configuration that grows by thousands of routes is larger than a slow link carries within the timeout of one call.
//! Each chunk has a timeout of its own, so that a transfer ends only where the sender does. No I/O, no clock.

mod chunk;
mod incoming;
mod offer_message;
mod outgoing;

pub use self::chunk::{CHUNK_BYTES, ChunkRequest, ConfigChunk};
pub use self::incoming::{IncomingTransfer, TransferProgress};
pub use self::offer_message::ConfigOfferMessage;
pub use self::outgoing::OutgoingTransfers;
