//! Hash that is the same in every process and build.

/// FNV-1a, 64 bit.
pub fn stable(text: &str) -> u64 {
    const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(FNV_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
