//! The digest that identifies an operator's request, so that a retry of it is recognized.

use mosshead_consensus::RequestDigest;
use sha2::{Digest, Sha256};

/// The SHA-256 digest of a request's path, base revision and body.
///
/// Each part is prefixed with its length, so that two different requests never produce the same hash input.
pub fn request_digest(path: &str, base_revision: u64, body: &[u8]) -> RequestDigest {
    let mut hash = Sha256::new();
    for part in [path.as_bytes(), &base_revision.to_be_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    RequestDigest(hash.finalize().into())
}
