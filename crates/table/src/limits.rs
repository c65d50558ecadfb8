//! Limits on requests and connections from callers.

use base::Millis;

/// Size and time limits on requests and connections from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Millis,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// Limits until a configuration is loaded: 16 KiB, 4 MiB, 3 s and 15 s.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis::from_secs(3),
            idle_timeout: Millis::from_secs(15),
        }
    }
}
