//! Version vectors: for each source, the version up to which a process has seen everything.

use std::collections::BTreeMap;

use minicbor::{Decode, Decoder, Encode, Encoder, decode, encode};

/// The most sources that a vector read from the wire may name.
pub const MAX_VECTOR_SOURCES: usize = 4096;

/// A source: the number that a core process draws at random for its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct SourceId(#[n(0)] pub u64);

/// For each source the highest version below which nothing is missing_entries. Absent means 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionVector(pub BTreeMap<SourceId, u64>);

impl VersionVector {
    /// The version seen of this source; 0 if none.
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

    /// Whether everything that `other` covers is covered here.
    pub fn covers(&self, other: &VersionVector) -> bool {
        other.0.iter().all(|(&source, &version)| self.get(source) >= version)
    }
}

impl<C> Encode<C> for VersionVector {
    fn encode<W: encode::Write>(&self, e: &mut Encoder<W>, _: &mut C) -> Result<(), encode::Error<W::Error>> {
        e.map(self.0.len() as u64)?;
        for (source, version) in &self.0 {
            e.u64(source.0)?.u64(*version)?;
        }
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for VersionVector {
    fn decode(d: &mut Decoder<'b>, _: &mut C) -> Result<Self, decode::Error> {
        let mut vector = VersionVector::default();
        for pair in d.map_iter::<u64, u64>()? {
            let (source, version) = pair?;
            if vector.0.len() >= MAX_VECTOR_SOURCES {
                return Err(decode::Error::message("too many sources in a vector"));
            }
            vector.0.insert(SourceId(source), version);
        }
        Ok(vector)
    }
}
