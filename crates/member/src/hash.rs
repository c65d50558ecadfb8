//! Hash functions with the same results on every node.

use std::hash::{Hash, Hasher};

/// FNV-1a with a final mixing step.
#[derive(Debug)]
struct Fnv(u64);

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        mix(self.0)
    }

    fn write(&mut self, bytes: &[u8]) {
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }
}

/// The finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes `value`. All nodes that run the same build compute the same hash.
pub(crate) fn of<T>(value: &T) -> u64
where
    T: Hash + ?Sized,
{
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    let mut hasher = Fnv(OFFSET);
    value.hash(&mut hasher);
    hasher.finish()
}
