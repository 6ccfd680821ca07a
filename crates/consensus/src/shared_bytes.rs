//! Encoding of shared byte slices as CBOR byte strings.

use std::sync::Arc;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decoder, Encoder};

pub(crate) fn encode_bytes<C, W: Write>(
    bytes: &Arc<[u8]>,
    encoder: &mut Encoder<W>,
    _: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    encoder.bytes(bytes)?;
    Ok(())
}

pub(crate) fn decode_bytes<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<Arc<[u8]>, DecodeError> {
    Ok(decoder.bytes()?.into())
}
