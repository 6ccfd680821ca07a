//! Version vectors: for each source, the version up to which a process has received everything.

use std::collections::BTreeMap;

use minicbor::{Decode, Decoder, Encode, Encoder, decode, encode};

/// The maximum number of sources in a decoded vector.
pub const MAX_VECTOR_SOURCES: usize = 4096;

/// A source of entries, identified by the number that a control node draws at random for its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct SourceId(#[n(0)] pub u64);

/// For each source the *known version*: the highest version up to which no entry in force is missing. A
/// source that is not listed has version 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionVector {
    versions: BTreeMap<SourceId, u64>,
}

impl VersionVector {
    /// Returns the version for this source; 0 if it is not listed.
    pub fn get(&self, source: SourceId) -> u64 {
        self.versions.get(&source).copied().unwrap_or(0)
    }

    /// Sets the version for this source, which may be lower than before. Setting version 0 lists the source
    /// too.
    pub fn set(&mut self, source: SourceId, version: u64) {
        self.versions.insert(source, version);
    }

    /// Returns true if `other` has at least the version of every listed source.
    pub fn is_covered_by(&self, other: &VersionVector) -> bool {
        self.iter().all(|(source, version)| version <= other.get(source))
    }

    /// Iterates over the listed sources with their versions, ordered by source.
    pub fn iter(&self) -> impl Iterator<Item = (SourceId, u64)> + '_ {
        self.versions.iter().map(|(&source, &version)| (source, version))
    }

    /// Returns the number of listed sources.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns true if no source is listed.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}

impl FromIterator<(SourceId, u64)> for VersionVector {
    fn from_iter<I: IntoIterator<Item = (SourceId, u64)>>(versions: I) -> VersionVector {
        VersionVector { versions: versions.into_iter().collect() }
    }
}

impl<C> Encode<C> for VersionVector {
    fn encode<W: encode::Write>(
        &self,
        encoder: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), encode::Error<W::Error>> {
        encoder.map(self.len() as u64)?;
        for (source, version) in self.iter() {
            encoder.u64(source.0)?.u64(version)?;
        }
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for VersionVector {
    fn decode(decoder: &mut Decoder<'b>, _: &mut C) -> Result<Self, decode::Error> {
        let mut vector = VersionVector::default();
        for pair in decoder.map_iter::<u64, u64>()? {
            let (source, version) = pair?;
            if vector.len() >= MAX_VECTOR_SOURCES {
                return Err(decode::Error::message("too many sources in a vector"));
            }
            vector.set(SourceId(source), version);
        }
        Ok(vector)
    }
}
