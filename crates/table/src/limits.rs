//! Bounds on what callers may send.

use base::Millis;

/// Bounds on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// Bounds until a configuration is known: 16 KiB, 4 MiB, 3 s and 15 s.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis::from_secs(3),
            idle_timeout: Millis::from_secs(15),
        }
    }
}
