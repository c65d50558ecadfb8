//! Bounds and times of a ledger.

use base::Millis;

/// Bounds of a [`Ledger`](crate::Ledger). The first three must be the same on every node of a deployment, for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Logs that keys are spread over.
    ///
    /// NB: another number would look for a key's claim in another log.
    pub shards: u16,
    /// How long a key is remembered after its claim. Callers must not repeat a key after this.
    pub retention: Millis,
    /// How long a base must have been in place before what lies below it is deleted.
    pub delete_after: Millis,
    /// How long what the base said is relied on; a third of `delete_after` at most, to leave room for clocks of
    /// different rates.
    pub base_valid: Millis,
    /// Longest wait of a call for its claim.
    pub claim_timeout: Millis,
    /// Longest time from grant to dispatch.
    pub dispatch_timeout: Millis,
    /// Shortest time between two writes to a shard, and between two deletes.
    pub write_interval: Millis,
    /// Longest time that a result waits for company in a batch.
    pub linger: Millis,
    /// First wait after a failed read or write; doubles up to `backoff_max`.
    pub backoff: Millis,
    /// Longest wait after a failed read or write.
    pub backoff_max: Millis,
    /// Time after which a shard that nobody uses is forgotten.
    pub idle_timeout: Millis,
    /// Claims held a shard.
    pub claims: usize,
    /// Calls that wait for a claim a shard.
    pub waiting_calls: usize,
    /// Calls that may wait for one key.
    pub waiters: usize,
    /// Bytes of recorded answers held a shard.
    pub bytes: usize,
    /// Bytes of the largest answer that is recorded.
    pub record_bytes: usize,
    /// Bytes of the largest batch; less than the service's largest value.
    pub batch_bytes: usize,
    /// Sequence numbers from the base to the next one, beyond which old claims are written anew.
    pub log_length: u64,
    /// Sequence numbers read at once while catching up.
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
