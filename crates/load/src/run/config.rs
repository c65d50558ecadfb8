//! Experiment file format.

use std::path::PathBuf;

use fake::engine::model;
use fake::{cloud, kv};
use serde::{Deserialize, Serialize};

use crate::workload::Stream;

/// Settings of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name shown in reports.
    pub name: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Duration of the arrivals in seconds.
    pub span_s: u64,
    /// Catalogue file, relative to the experiment file. Workspace tokens are replaced by tokens of this tool.
    pub catalogue: PathBuf,
    /// Number of nodes, assigned to the catalogue's zones in turn.
    pub nodes: u32,
    /// Timeout and retry settings of callers.
    #[serde(default)]
    pub caller: Caller,
    /// Replicas at the start.
    pub replicas: Vec<Replicas>,
    /// Workload.
    pub streams: Vec<Stream>,
    /// Scheduled faults and operator actions.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Timeout and retry settings of callers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Caller {
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: u64,
    /// Maximum number of attempts per request.
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

/// A group of replicas of an endpoint, assigned to the zones in turn.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// Endpoint.
    pub endpoint: String,
    /// Number of replicas.
    pub count: u32,
    /// Version served by the replicas.
    #[serde(default = "first_version")]
    pub version: String,
    /// Whether the replicas run on reclaimable VMs.
    #[serde(default)]
    pub reclaimable: bool,
    /// Delay of their load reports, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Performance parameters of engines.
    #[serde(default)]
    pub engine: model::Config,
    /// Processing time of a service request, in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// Maximum number of concurrent requests of a service replica.
    #[serde(default = "service_capacity")]
    pub capacity: usize,
    /// Faults active from the start.
    #[serde(default)]
    pub faults: fake::fault::Faults,
}

fn first_version() -> String {
    "v1".to_owned()
}

const fn service_capacity() -> usize {
    16
}

/// A scheduled action.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Milliseconds since the start of arrivals.
    pub at_ms: u64,
    /// Action of an event.
    #[serde(flatten)]
    pub action: Action,
}

/// Action of an event.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// Reclaims a zone's reclaimable VMs after a notice.
    Reclaim {
        /// Zone.
        zone: String,
        /// Time between notice and reclaim, in milliseconds.
        notice_ms: u64,
    },
    /// Stops a node gracefully.
    StopNode {
        /// Index of the node.
        node: usize,
    },
    /// Injects faults into the key-value service for a limited time.
    Kv {
        /// Duration in milliseconds.
        for_ms: u64,
        /// Faults to inject.
        faults: kv::Faults,
    },
    /// Injects faults into the cloud API for a limited time.
    Cloud {
        /// Duration in milliseconds.
        for_ms: u64,
        /// Faults to inject.
        faults: cloud::Faults,
    },
    /// Injects faults into replicas of an endpoint for a limited time.
    Replicas {
        /// Endpoint.
        endpoint: String,
        /// Limits the faults to replicas in this zone.
        #[serde(default)]
        zone: Option<String>,
        /// Limits the faults to replicas of this version.
        #[serde(default)]
        version: Option<String>,
        /// Duration in milliseconds.
        for_ms: u64,
        /// Faults to inject.
        faults: Box<fake::fault::Faults>,
    },
    /// Starts a rollout of a version.
    Rollout {
        /// Endpoint.
        endpoint: String,
        /// Version to roll out.
        to: String,
        /// Time within which the rollout should complete, in seconds.
        within_s: u64,
        /// Time for which the rollout is watched after completion, in seconds.
        watch_s: u64,
    },
}
