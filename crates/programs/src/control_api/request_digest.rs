//! The digest that identifies an operator's request, so that a repeat of it is recognized.

use mosshead_consensus::RequestDigest;
use sha2::{Digest, Sha256};

/// The SHA-256 digest of a request: its path, the revision that it builds on, and its body.
///
/// Each part is hashed behind its length, so that different requests never hash the same bytes.
pub fn request_digest(path: &str, base_revision: u64, body: &[u8]) -> RequestDigest {
    let mut hash = Sha256::new();
    for part in [path.as_bytes(), &base_revision.to_be_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    RequestDigest(hash.finalize().into())
}
