//! Bounds of a table's memory.

use base::Millis;

/// Bounds of a [`Table`](crate::Table).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Keys held at once; half of them may be running.
    pub keys: usize,
    /// Bytes of recorded answers held at once.
    pub bytes: usize,
    /// Bytes of the largest answer that is recorded.
    pub record_bytes: usize,
    /// Age from which a key is no longer accepted.
    pub lifetime: Millis,
    /// Calls that may wait for one key.
    pub waiters: usize,
    /// Keys taken over from other homes.
    pub imported: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            keys: 65_536,
            bytes: 16 << 20,
            record_bytes: 64 << 10,
            lifetime: Millis::from_secs(900),
            waiters: 64,
            imported: 65_536,
        }
    }
}
