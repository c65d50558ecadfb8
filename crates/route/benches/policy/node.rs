//! A simulated node.

use base::{Millis, Name, Seed};
use route::replica::Spec;
use route::{Action, EndpointKey, ReplicaKey, Router, WorkspaceKey, endpoint, workspace};

use crate::engine::MAX_BATCH;
use crate::policy::{Baseline, Policy};
use crate::run::TARGET;
use crate::scenario::Scenario;

/// Number of availability zones. Nodes and engines are assigned to them round-robin.
pub const ZONES: usize = 4;

/// A node with its router and the state of a baseline policy.
pub struct Node {
    pub router: Router,
    pub endpoint: EndpointKey,
    pub workspaces: Vec<WorkspaceKey>,
    pub replicas: Vec<ReplicaKey>,
    pub baseline: Baseline,
}

impl Node {
    pub fn new(index: usize, policy: Policy, scenario: Scenario, seed: u64) -> Self {
        let seed = Seed(seed).derive(index as u64 + 1);
        let mut router = Router::new(seed).with_zone(&zone(index));
        let settings = endpoint::Settings::new(TARGET)
            .with_affinity(policy == Policy::Router)
            .with_retry_percent(10);
        let endpoint = router.add_endpoint(settings);
        let settings = workspace::Settings::new(u32::MAX);
        let workspaces = if scenario.shared_flow {
            let workspace = router.add_workspace(settings);
            scenario.streams.iter().map(|_| workspace).collect()
        } else {
            scenario
                .streams
                .iter()
                .map(|_| router.add_workspace(settings))
                .collect()
        };
        Self {
            router,
            endpoint,
            workspaces,
            replicas: Vec::new(),
            baseline: Baseline::default(),
        }
    }

    pub fn add(&mut self, now: Millis, index: usize) -> Vec<Action> {
        let spec = Spec {
            endpoint: self.endpoint,
            zone: self.router.zone_key(&zone(index)),
            version: self.router.version_key(&Name::from("v1")),
            capacity: MAX_BATCH as u32,
            identity: self.replicas.len() as u64 + 1,
        };
        let mut actions = Vec::new();
        self.replicas
            .extend(self.router.add_replica(now, spec, &mut actions));
        actions
    }
}

fn zone(index: usize) -> Name {
    Name::from(format!("zone-{}", index % ZONES))
}
