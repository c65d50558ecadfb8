//! Memory limits of a table.

use base::Millis;

/// Limits of a [`Table`](crate::Table).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of keys; at most half of them may be running.
    pub keys: usize,
    /// Maximum total size of recorded responses, in bytes.
    pub bytes: usize,
    /// Maximum size of a response that is recorded, in bytes.
    pub record_bytes: usize,
    /// Age from which a key is no longer accepted.
    pub lifetime: Millis,
    /// Maximum number of calls that wait for one key.
    pub waiters: usize,
    /// Maximum number of keys imported from other nodes.
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
