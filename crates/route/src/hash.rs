//! Fast hashing for keys that the node assigns itself.

use std::hash::{BuildHasherDefault, Hasher};

use indexmap::{IndexMap, IndexSet};

/// Multiplier of Fibonacci hashing, which spreads consecutive numbers over the high bits.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Multiplicative hash of a small number.
///
/// Use it only for keys that callers cannot choose, as chosen keys can be made to collide.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fibonacci(u64);

impl Hasher for Fibonacci {
    fn finish(&self) -> u64 {
        self.0 ^ self.0 >> 32
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, i: u32) {
        self.write_u64(u64::from(i));
    }

    fn write_u64(&mut self, i: u64) {
        self.0 = (self.0 ^ i).wrapping_mul(MULTIPLIER);
    }
}

/// A map with keys that the node assigns.
pub(crate) type Map<K, V> = IndexMap<K, V, BuildHasherDefault<Fibonacci>>;
/// A set of keys that the node assigns.
pub(crate) type Set<K> = IndexSet<K, BuildHasherDefault<Fibonacci>>;
