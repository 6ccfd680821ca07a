//! Hashes that map a prompt's shared prefix to the same servers in every proxy (rendezvous hashing).

/// Spreads the bits of a number (the finisher of splitmix64).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The FNV-1a hash of a text, mixed. Every proxy computes the same one.
pub(crate) fn hash_id(text: &[u8]) -> u64 {
    mix(text.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    }))
}

/// The rank of a server for a prefix: of all servers, the two highest are the prefix's home.
pub(crate) fn rendezvous_rank(id_hash: u64, affinity_key: u64) -> u64 {
    mix(id_hash ^ affinity_key)
}
