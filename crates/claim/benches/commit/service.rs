//! Model of a key-value service with a limited write rate and a fixed latency.

use crate::WRITES_PER_SEC;

/// Time that one write occupies the service, in microseconds.
const WRITE_MICROS: u64 = 1_000_000 / WRITES_PER_SEC;

/// Serves writes sequentially; reads do not wait for them.
#[derive(Debug)]
pub struct Service {
    latency: u64,
    free_at: u64,
}

impl Service {
    pub const fn new(latency_ms: u64) -> Self {
        let latency = latency_ms * 1_000;
        Self { latency, free_at: 0 }
    }

    /// Time that a write would wait before it is served, in microseconds.
    pub const fn backlog(&self, now: u64) -> u64 {
        self.free_at.saturating_sub(now)
    }

    /// Time at which a write sent now is answered.
    pub fn write(&mut self, now: u64) -> u64 {
        let start = self.free_at.max(now);
        self.free_at = start + WRITE_MICROS;
        start + self.latency
    }

    /// Time at which a read sent now is answered.
    pub const fn read(&self, now: u64) -> u64 {
        now + self.latency
    }
}
