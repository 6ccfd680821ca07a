//! The offer of a configuration as a transfer carries it, and its compressed form.

use minicbor::{Decode, Encode};
use mosshead_control_plane::ConfigOffer;

/// The longest encoded offer before its compression, in bytes.
const MAX_UNPACKED_BYTES: usize = 10 * 1024 * 1024;
/// The length prefix of a packed offer, in bytes (little-endian, as `lz4_flex` writes it).
const LENGTH_PREFIX_BYTES: usize = 4;

/// A [`ConfigOffer`] as it is sent: patches in order, or the full text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigOfferMessage {
    /// The revision that the offer leads to; 0 from a control node that has no quorum contact or no configuration.
    #[n(0)]
    pub revision: u64,
    /// Patches from the receiver's configuration, to be applied in order; empty where there is a full text.
    #[n(1)]
    pub patches: Vec<String>,
    /// The full text of the configuration, where no chain of patches leads to it.
    #[n(2)]
    pub full_text: Option<String>,
}

impl ConfigOfferMessage {
    /// The offer of a control node that offers no configuration.
    pub fn withheld() -> ConfigOfferMessage {
        ConfigOfferMessage { revision: 0, patches: Vec::new(), full_text: None }
    }

    /// Encodes and compresses; `None` if the offer is longer than [`MAX_UNPACKED_BYTES`].
    pub(super) fn pack(&self) -> Option<Vec<u8>> {
        let encoded = minicbor::to_vec(self).ok()?;
        let is_within_bounds = encoded.len() <= MAX_UNPACKED_BYTES;
        is_within_bounds.then(|| lz4_flex::compress_prepend_size(&encoded))
    }

    /// Reverses [`pack`](ConfigOfferMessage::pack); `None` for bytes that it did not make.
    pub(super) fn unpack(packed: &[u8]) -> Option<ConfigOfferMessage> {
        let length = packed.get(..LENGTH_PREFIX_BYTES)?.try_into().map(u32::from_le_bytes).ok()?;
        // The sender chose the length prefix, and the decompressor allocates that much before it reads a byte.
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

/// The longest packed form of an offer that [`ConfigOfferMessage::unpack`] accepts, in bytes.
pub(super) fn max_packed_bytes() -> usize {
    lz4_flex::block::get_maximum_output_size(MAX_UNPACKED_BYTES) + LENGTH_PREFIX_BYTES
}
