//! Version vectors: for each source, up to which version a process has received everything.

use std::collections::BTreeMap;

use minicbor::{Decode, Decoder, Encode, Encoder, decode, encode};

/// The most sources that a decoded vector may name.
pub const MAX_VECTOR_SOURCES: usize = 4096;

/// A source of entries: the number that a control node draws at random for its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct SourceId(#[n(0)] pub u64);

/// For each source the highest version up to which no entry in force is missing. A source that is not named counts
/// as 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionVector(pub BTreeMap<SourceId, u64>);

impl VersionVector {
    /// The version for this source; 0 if it is not named.
    pub fn get(&self, source: SourceId) -> u64 {
        self.0.get(&source).copied().unwrap_or(0)
    }

    /// How many sources are named.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no source is named.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether no version is below that of `other`.
    pub fn covers(&self, other: &VersionVector) -> bool {
        other.0.iter().all(|(&source, &version)| self.get(source) >= version)
    }
}

impl<C> Encode<C> for VersionVector {
    fn encode<W: encode::Write>(
        &self,
        encoder: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), encode::Error<W::Error>> {
        encoder.map(self.0.len() as u64)?;
        for (source, version) in &self.0 {
            encoder.u64(source.0)?.u64(*version)?;
        }
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for VersionVector {
    fn decode(decoder: &mut Decoder<'b>, _: &mut C) -> Result<Self, decode::Error> {
        let mut vector = VersionVector::default();
        for pair in decoder.map_iter::<u64, u64>()? {
            let (source, version) = pair?;
            if vector.0.len() >= MAX_VECTOR_SOURCES {
                return Err(decode::Error::message("too many sources in a vector"));
            }
            vector.0.insert(SourceId(source), version);
        }
        Ok(vector)
    }
}
