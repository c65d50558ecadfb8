//! Limits and timeouts of a ledger.

use base::Millis;

/// Limits of a [`Ledger`](crate::Ledger). `shards`, `retention` and `delete_after` must be the same on every node of a
/// deployment and must never change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of shards. With a different number, a key's claim would be looked up in a different log.
    pub shards: u16,
    /// How long a key is remembered after its claim. Callers must not repeat a key later than this.
    pub retention: Millis,
    /// How long a base must have been in place before the sequence numbers below it are deleted.
    pub delete_after: Millis,
    /// How long a base that was read is considered valid. At most a third of `delete_after`, to leave margin for
    /// clocks that run at different rates.
    pub base_valid: Millis,
    /// Maximum time that a call waits for its claim.
    pub claim_timeout: Millis,
    /// Maximum time from grant to dispatch.
    pub dispatch_timeout: Millis,
    /// Minimum interval between two writes to a shard, and between two deletes.
    pub write_interval: Millis,
    /// Maximum time that a result is delayed so that it can share a batch with others.
    pub linger: Millis,
    /// Backoff after the first failed read or write; doubles up to `backoff_max`.
    pub backoff: Millis,
    /// Maximum backoff after a failed read or write.
    pub backoff_max: Millis,
    /// Time without use after which the state of a shard is dropped from memory.
    pub idle_timeout: Millis,
    /// Maximum number of claims per shard.
    pub claims: usize,
    /// Maximum number of calls per shard that wait for a claim.
    pub waiting_calls: usize,
    /// Maximum number of calls that wait for one key.
    pub waiters: usize,
    /// Maximum total size of recorded responses per shard, in bytes.
    pub bytes: usize,
    /// Maximum size of a response that is recorded, in bytes.
    pub record_bytes: usize,
    /// Maximum size of a batch, in bytes. Must be less than the value size limit of the service.
    pub batch_bytes: usize,
    /// Target length of a log in sequence numbers. Live claims further back than this are rewritten.
    pub log_length: u64,
    /// Number of sequence numbers read concurrently while catching up.
    pub read_ahead: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            shards: 2,
            retention: Millis::from_secs(1_800),
            delete_after: Millis::from_secs(60),
            base_valid: Millis::from_secs(20),
            claim_timeout: Millis(500),
            dispatch_timeout: Millis::from_secs(30),
            write_interval: Millis(30),
            linger: Millis(100),
            backoff: Millis(50),
            backoff_max: Millis::from_secs(2),
            idle_timeout: Millis::from_secs(600),
            claims: 65_536,
            waiting_calls: 8_192,
            waiters: 64,
            bytes: 4 << 20,
            record_bytes: 4 << 10,
            batch_bytes: 900_000,
            log_length: 1_024,
            read_ahead: 32,
        }
    }
}
