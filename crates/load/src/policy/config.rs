//! Settings of a policy run.

use fake::engine::model;
use serde::{Deserialize, Serialize};

use super::Kind;
use crate::workload::Stream;

/// A policy file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Seeds; each policy runs once with each.
    pub seeds: Vec<u64>,
    /// Span of arrivals in seconds; what is then under way runs to its end.
    pub span_s: u64,
    /// Nodes; callers are spread over them evenly.
    pub nodes: u32,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Replicas, spread over the zones in turn.
    pub replicas: u32,
    /// Latest beginning of an answer that counts as in time, in milliseconds.
    pub target_ms: u64,
    /// Span for which a caller waits for the beginning, in milliseconds.
    pub timeout_ms: u64,
    /// Period of load reports, in milliseconds.
    pub report_ms: u64,
    /// Age of a report or cache event when it reaches a node, in milliseconds.
    pub lag_ms: u64,
    /// The engine's speeds.
    #[serde(default)]
    pub engine: model::Config,
    /// Policies to run.
    pub policies: Vec<Kind>,
    /// Who asks what; only questions are run.
    pub streams: Vec<Stream>,
    /// Zones that are reclaimed.
    #[serde(default)]
    pub reclaims: Vec<Reclaim>,
}

/// The reclaim of a zone's replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaim {
    /// Time of the notice, in milliseconds since the start.
    pub at_ms: u64,
    /// Zone.
    pub zone: String,
    /// Span of the notice, in milliseconds.
    pub notice_ms: u64,
    /// Whether the KV cache of cut streams goes with them.
    #[serde(default)]
    pub export: bool,
    /// When new replicas take the place of those reclaimed, in milliseconds after the notice; never if left out.
    #[serde(default)]
    pub replaced_after_ms: Option<u64>,
}
