//! Durations as whole milliseconds in messages and records: `#[cbor(with = "mosshead_time::duration_millis")]`.

use core::time::Duration;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decoder, Encoder};

use crate::whole_millis;

/// Writes the whole milliseconds as an unsigned number.
///
/// # Errors
///
/// What the writer returns.
pub fn encode<C, W: Write>(
    duration: &Duration,
    encoder: &mut Encoder<W>,
    _: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    encoder.u64(whole_millis(*duration))?;
    Ok(())
}

/// Reads an unsigned number of milliseconds.
///
/// # Errors
///
/// The next item is not an unsigned number.
pub fn decode<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<Duration, DecodeError> {
    decoder.u64().map(Duration::from_millis)
}
