//! Experiment files.

use std::path::PathBuf;

use fake::engine::model;
use fake::{cloud, kv};
use serde::{Deserialize, Serialize};

use crate::workload::Stream;

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in reports.
    pub name: String,
    /// Seed of all draws.
    pub seed: u64,
    /// Span of arrivals in seconds.
    pub span_s: u64,
    /// Catalogue file, beside the experiment file. Workspaces' tokens are replaced by the tool's own.
    pub catalogue: PathBuf,
    /// Nodes, spread over the catalogue's zones in turn.
    pub nodes: u32,
    /// Spans that callers keep to.
    #[serde(default)]
    pub caller: Caller,
    /// Replicas at the start.
    pub replicas: Vec<Replicas>,
    /// Who asks what.
    pub streams: Vec<Stream>,
    /// What goes wrong, and what operators do.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// How callers behave.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Caller {
    /// Longest time for one call, in milliseconds.
    pub timeout_ms: u64,
    /// Most calls for one request.
    pub tries: u32,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            timeout_ms: 30_000,
            tries: 4,
        }
    }
}

/// Replicas of an endpoint, spread over the zones in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// Endpoint.
    pub endpoint: String,
    /// How many.
    pub count: u32,
    /// Version that they serve.
    #[serde(default = "first_version")]
    pub version: String,
    /// Whether they are reclaimable VMs.
    #[serde(default)]
    pub reclaimable: bool,
    /// Lag of their load reports, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Speeds of engines.
    #[serde(default)]
    pub engine: model::Config,
    /// Time of a service's run, in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// Requests that a service runs at once.
    #[serde(default = "service_capacity")]
    pub capacity: usize,
    /// Faults from the start.
    #[serde(default)]
    pub faults: fake::fault::Faults,
}

fn first_version() -> String {
    "v1".to_owned()
}

const fn service_capacity() -> usize {
    16
}

/// Something that happens at a time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Milliseconds since the start of arrivals.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub action: Action,
}

/// What happens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// A zone's reclaimable VMs get notice and are gone after it.
    Reclaim {
        /// Zone.
        zone: String,
        /// Span of the notice.
        notice_ms: u64,
    },
    /// A node is stopped gracefully.
    StopNode {
        /// Its place.
        node: usize,
    },
    /// Faults of the key-value service for a span.
    Kv {
        /// Span.
        for_ms: u64,
        /// Faults.
        faults: kv::Faults,
    },
    /// Faults of the cloud for a span.
    Cloud {
        /// Span.
        for_ms: u64,
        /// Faults.
        faults: cloud::Faults,
    },
    /// Faults of an endpoint's replicas for a span.
    Replicas {
        /// Endpoint.
        endpoint: String,
        /// Only those in this zone.
        #[serde(default)]
        zone: Option<String>,
        /// Only those of this version.
        #[serde(default)]
        version: Option<String>,
        /// Span.
        for_ms: u64,
        /// Faults.
        faults: Box<fake::fault::Faults>,
    },
    /// Operators declare a move to a version.
    Rollout {
        /// Endpoint.
        endpoint: String,
        /// Version to move to.
        to: String,
        /// Span by the end of which it should be done.
        within_s: u64,
        /// Span for which it is watched afterwards.
        watch_s: u64,
    },
}
