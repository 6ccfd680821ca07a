//! Shared bytes as byte strings in messages and records.

use std::sync::Arc;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decoder, Encoder};

pub(crate) fn encode_body<C, W: Write>(
    body: &Arc<[u8]>,
    e: &mut Encoder<W>,
    _: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    e.bytes(body)?;
    Ok(())
}

pub(crate) fn decode_body<C>(d: &mut Decoder<'_>, _: &mut C) -> Result<Arc<[u8]>, DecodeError> {
    Ok(d.bytes()?.into())
}
