//! Rendezvous hashing: every node ranks the replicas for a prompt in the same order.

/// Mixes the bits of a number with the finalizer of the `SplitMix64` generator.
const fn mix_bits(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the FNV-1a hash of a name, which is the same on every node.
pub fn hash(name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes()
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// Returns the weight of a replica for a key. The replica with the highest weight is the home of the key.
pub(crate) const fn weight(key: u64, replica: u64) -> u64 {
    mix_bits(key ^ mix_bits(replica))
}
