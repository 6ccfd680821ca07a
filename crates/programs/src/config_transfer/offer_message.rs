//! The wire format of a configuration offer, and its compression.

use minicbor::{Decode, Encode};
use mosshead_control_plane::ConfigOffer;

/// The maximum length of an encoded offer before compression, in bytes.
const MAX_UNPACKED_BYTES: usize = 10 * 1024 * 1024;
/// The length prefix of a packed offer, in bytes (little-endian, as `lz4_flex` writes it).
const LENGTH_PREFIX_BYTES: usize = 4;

/// A [`ConfigOffer`] on the wire: a chain of patches, or the full text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigOfferMessage {
    /// The target revision; 0 from a control node that has no quorum contact or no configuration.
    #[n(0)]
    pub revision: u64,
    /// Patches to apply to the receiver's configuration, in order; empty if there is a full text.
    #[n(1)]
    pub patches: Vec<String>,
    /// The full text of the configuration; present if there is no chain of patches to it.
    #[n(2)]
    pub full_text: Option<String>,
}

impl ConfigOfferMessage {
    /// The message of a control node that may not offer a configuration.
    pub fn withheld() -> ConfigOfferMessage {
        ConfigOfferMessage { revision: 0, patches: Vec::new(), full_text: None }
    }

    /// Encodes and compresses; `None` if the offer is longer than [`MAX_UNPACKED_BYTES`].
    pub(super) fn pack(&self) -> Option<Vec<u8>> {
        let encoded = minicbor::to_vec(self).ok()?;
        let is_within_bounds = encoded.len() <= MAX_UNPACKED_BYTES;
        is_within_bounds.then(|| lz4_flex::compress_prepend_size(&encoded))
    }

    /// Decompresses and decodes the result of [`pack`](ConfigOfferMessage::pack); `None` for other bytes.
    pub(super) fn unpack(packed: &[u8]) -> Option<ConfigOfferMessage> {
        let length = packed.get(..LENGTH_PREFIX_BYTES)?.try_into().map(u32::from_le_bytes).ok()?;
        // The length prefix is untrusted, and the decompressor allocates that many bytes before it reads any.
        if length as usize > MAX_UNPACKED_BYTES {
            return None;
        }
        let encoded = lz4_flex::decompress_size_prepended(packed).ok()?;
        minicbor::decode(&encoded).ok()
    }
}

impl From<ConfigOffer> for ConfigOfferMessage {
    fn from(offer: ConfigOffer) -> ConfigOfferMessage {
        match offer {
            ConfigOffer::Withheld => ConfigOfferMessage::withheld(),
            ConfigOffer::Patches { revision, patches } => {
                ConfigOfferMessage { revision, patches, full_text: None }
            }
            ConfigOffer::Full { revision, text } => {
                ConfigOfferMessage { revision, patches: Vec::new(), full_text: Some(text) }
            }
        }
    }
}

impl From<ConfigOfferMessage> for ConfigOffer {
    fn from(message: ConfigOfferMessage) -> ConfigOffer {
        match message {
            ConfigOfferMessage { revision, full_text: Some(text), .. } => {
                ConfigOffer::Full { revision, text }
            }
            ConfigOfferMessage { revision: 0, .. } => ConfigOffer::Withheld,
            ConfigOfferMessage { revision, patches, .. } => ConfigOffer::Patches { revision, patches },
        }
    }
}

/// The maximum length of a packed offer that [`ConfigOfferMessage::unpack`] accepts, in bytes.
pub(super) fn max_packed_bytes() -> usize {
    lz4_flex::block::get_maximum_output_size(MAX_UNPACKED_BYTES) + LENGTH_PREFIX_BYTES
}
