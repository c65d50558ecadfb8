//! Looks at replicas, nodes and the cloud while callers call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fake::cloud::Vm;
use fake::engine::model;
use fake::replica::Run;
use indexmap::IndexMap;
use reqwest::Client;
use serde::de::DeserializeOwned;
use tokio::sync::Mutex;

use super::recorder::{Cost, Recorder};
use crate::history::{Record, record};

/// Period of the looks.
pub const PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for one look.
const TIMEOUT: Duration = Duration::from_secs(5);

/// What is looked at, and how far.
#[derive(Debug)]
pub struct Observer {
    client: Client,
    recorder: Arc<Recorder>,
    cloud: String,
    replicas: Vec<Vm>,
    nodes: Vec<SocketAddr>,
    operator: String,
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    /// Runs read of each replica.
    runs: IndexMap<String, u64>,
    /// Last counts of each engine.
    counts: IndexMap<String, model::Counts>,
    generations: IndexMap<SocketAddr, u64>,
    looked: Option<tokio::time::Instant>,
}

impl Observer {
    pub fn new(client: Client, recorder: Arc<Recorder>, deployment: &super::deployment::Deployment) -> Self {
        Self {
            client,
            recorder,
            cloud: deployment.cloud.clone(),
            replicas: deployment
                .replicas
                .iter()
                .map(|replica| replica.vm.clone())
                .collect(),
            nodes: deployment.nodes.clone(),
            operator: deployment.operator().to_owned(),
            seen: Mutex::default(),
        }
    }

    /// Looks again and again.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.look().await;
            tokio::time::sleep(PERIOD).await;
        }
    }

    /// Looks at everything once.
    pub async fn look(&self) {
        let mut seen = self.seen.lock().await;
        self.look_at_vms(&mut seen).await;
        for vm in &self.replicas {
            self.look_at_replica(&mut seen, vm).await;
        }
        for node in &self.nodes {
            self.look_at_node(&mut seen, *node).await;
        }
    }

    /// Sum of the engines' last counts.
    pub async fn counts(&self) -> model::Counts {
        let seen = self.seen.lock().await;
        let mut sum = model::Counts::default();
        for counts in seen.counts.values() {
            sum.started += counts.started;
            sum.finished += counts.finished;
            sum.cancelled += counts.cancelled;
            sum.prefilled += counts.prefilled;
            sum.recomputed += counts.recomputed;
            sum.cached += counts.cached;
            sum.imported += counts.imported;
            sum.decoded += counts.decoded;
        }
        sum
    }

    async fn look_at_vms(&self, seen: &mut Seen) {
        let Some(vms) = self.get::<Vec<Vm>>(&format!("{}/v1/vms", self.cloud)).await else {
            return;
        };
        let now = tokio::time::Instant::now();
        let seconds = seen.looked.map_or(0.0, |looked| (now - looked).as_secs_f64());
        seen.looked = Some(now);
        let costs = vms.into_iter().map(|vm| Cost {
            class: vm.class,
            zone: vm.zone,
            reclaimable: vm.reclaimable,
            seconds,
        });
        self.recorder.lock().costs.extend(costs);
    }

    async fn look_at_replica(&self, seen: &mut Seen, vm: &Vm) {
        let base = format!("http://{}", vm.addr);
        let after = seen.runs.get(&vm.id).copied().unwrap_or(0);
        let Some(runs) = self
            .get::<Vec<Run>>(&format!("{base}/admin/runs?after={after}"))
            .await
        else {
            return;
        };
        seen.runs.insert(vm.id.clone(), after + runs.len() as u64);
        for run in runs {
            self.recorder.record(Record::Run(record::Run {
                replica: vm.id.clone(),
                number: run.number,
                call: run.request,
                dispatch: run.dispatch,
                key: run.key,
            }));
        }
        if let Some(counts) = self.get::<model::Counts>(&format!("{base}/admin/counts")).await {
            seen.counts.insert(vm.id.clone(), counts);
        }
    }

    async fn look_at_node(&self, seen: &mut Seen, node: SocketAddr) {
        let url = format!("http://{node}/v1/admin/catalogue/status");
        let Some(status) = self.get::<serde_json::Value>(&url).await else {
            return;
        };
        let Some(generation) = status["applied"].as_u64() else {
            return;
        };
        if seen.generations.insert(node, generation) != Some(generation) {
            self.recorder.record(Record::Generation(record::Generation {
                node: node.to_string(),
                generation,
            }));
        }
    }

    async fn get<T>(&self, url: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let request = self.client.get(url).bearer_auth(&self.operator).timeout(TIMEOUT);
        let response = request.send().await.ok()?.error_for_status().ok()?;
        response.json().await.ok()
    }
}
