//! Rendezvous hashing: maps a prompt's shared prefix to the same servers in every proxy.

/// The finalizer of splitmix64, which spreads each input bit over the whole output.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The FNV-1a hash of an instance id, finalized with [`mix`]. All proxies compute the same value.
pub(crate) fn hash_id(id: &[u8]) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    mix(id.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)))
}

/// The rank of a server for a prefix. The two servers with the highest ranks are its home servers.
pub(crate) fn rendezvous_rank(id_hash: u64, affinity_key: u64) -> u64 {
    mix(id_hash ^ affinity_key)
}
