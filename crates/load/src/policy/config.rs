//! Settings of a policy simulation.

use fake::engine::model;
use serde::{Deserialize, Serialize};

use super::Kind;
use crate::workload::Stream;

/// A simulation file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Seeds; each policy runs once with each.
    pub seeds: Vec<u64>,
    /// Duration of the arrivals in seconds; requests in progress at its end run to completion.
    pub span_s: u64,
    /// Number of nodes; calls are distributed evenly over them.
    pub nodes: u32,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Number of replicas, assigned to the zones in turn.
    pub replicas: u32,
    /// Target time to first token in milliseconds; later answers do not count as in time.
    pub target_ms: u64,
    /// Time for which a caller waits for the first token, in milliseconds.
    pub timeout_ms: u64,
    /// Interval between load reports, in milliseconds.
    pub report_ms: u64,
    /// Delay until a load report reaches a node, in milliseconds.
    pub lag_ms: u64,
    /// Performance parameters of the engines.
    #[serde(default)]
    pub engine: model::Config,
    /// Policies to compare.
    pub policies: Vec<Kind>,
    /// Workload; only streams of questions are simulated.
    pub streams: Vec<Stream>,
    /// Zone reclaims.
    #[serde(default)]
    pub reclaims: Vec<Reclaim>,
}

/// Reclaim of all replicas in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaim {
    /// Time of the notice, in milliseconds since the start.
    pub at_ms: u64,
    /// Zone to reclaim.
    pub zone: String,
    /// Time between notice and reclaim, in milliseconds.
    pub notice_ms: u64,
    /// Whether interrupted streams keep their KV cache through an export.
    #[serde(default)]
    pub export: bool,
    /// Time from the notice until replacement replicas start, in milliseconds; no replacement if omitted.
    #[serde(default)]
    pub replaced_after_ms: Option<u64>,
}
