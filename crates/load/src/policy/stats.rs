//! What a policy run comes to.

use serde::Serialize;

use super::Kind;

/// Figures of one policy with one seed; latencies are from the due time to the first token, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Stats {
    /// Policy.
    pub policy: Kind,
    /// Seed.
    pub seed: u64,
    /// Requests that came.
    pub arrived: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Dispatches for each request that came.
    pub attempts: f64,
    /// Part of the requests whose answer began within the target.
    pub in_time: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Tokens that the answered requests asked for.
    pub owed: u64,
    /// Tokens delivered to them.
    pub delivered: u64,
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens computed though some replica had computed them before, and tokens of cut streams.
    pub recomputed: u64,
}
