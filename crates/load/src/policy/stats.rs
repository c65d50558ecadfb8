//! Results of a policy simulation.

use serde::Serialize;

use super::Kind;

/// Statistics of one policy and seed. Latencies are measured from the due time to the first token, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Stats {
    /// Policy.
    pub policy: Kind,
    /// Seed.
    pub seed: u64,
    /// Number of requests.
    pub arrived: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Average number of dispatches per request.
    pub attempts: f64,
    /// Fraction of requests whose first token arrived within the target.
    pub in_time: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 95th percentile of latency.
    pub p95_ms: f64,
    /// 99th percentile of latency.
    pub p99_ms: f64,
    /// Tokens requested by the answered requests.
    pub owed: u64,
    /// Tokens delivered to the answered requests.
    pub delivered: u64,
    /// Prompt tokens computed by all engines.
    pub prefilled: u64,
    /// Tokens computed again: prompt tokens that some replica had already computed, and tokens of interrupted streams.
    pub recomputed: u64,
}
