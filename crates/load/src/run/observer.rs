//! Polls replicas, nodes and the cloud API during an experiment.

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

use super::recorder::{Recorder, Usage};
use crate::history::{Record, record};

/// Interval between polls.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one request.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Poller of all servers of a deployment.
#[derive(Debug)]
pub struct Observer {
    client: Client,
    recorder: Arc<Recorder>,
    cloud_url: String,
    replicas: Vec<Vm>,
    nodes: Vec<SocketAddr>,
    operator_token: String,
    progress: Mutex<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    /// Number of runs read from each replica.
    runs: IndexMap<String, u64>,
    /// Latest counters of each engine.
    counts: IndexMap<String, model::Counts>,
    generations: IndexMap<SocketAddr, u64>,
    last_poll: Option<tokio::time::Instant>,
}

impl Observer {
    pub fn new(client: Client, recorder: Arc<Recorder>, deployment: &super::deployment::Deployment) -> Self {
        Self {
            client,
            recorder,
            cloud_url: deployment.cloud_url.clone(),
            replicas: deployment
                .replicas
                .iter()
                .map(|replica| replica.vm.clone())
                .collect(),
            nodes: deployment.nodes.clone(),
            operator_token: deployment.operator_token().to_owned(),
            progress: Mutex::default(),
        }
    }

    /// Polls periodically, forever.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.poll().await;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls all servers once.
    pub async fn poll(&self) {
        let mut progress = self.progress.lock().await;
        self.poll_vms(&mut progress).await;
        for vm in &self.replicas {
            self.poll_replica(&mut progress, vm).await;
        }
        for node in &self.nodes {
            self.poll_node(&mut progress, *node).await;
        }
    }

    /// Sums the latest counters of all engines.
    pub async fn counts(&self) -> model::Counts {
        let progress = self.progress.lock().await;
        let mut sum = model::Counts::default();
        for counts in progress.counts.values() {
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

    async fn poll_vms(&self, progress: &mut Progress) {
        let Some(vms) = self.get::<Vec<Vm>>(&format!("{}/v1/vms", self.cloud_url)).await else {
            return;
        };
        let now = tokio::time::Instant::now();
        let seconds = progress
            .last_poll
            .map_or(0.0, |last_poll| (now - last_poll).as_secs_f64());
        progress.last_poll = Some(now);
        let usage = vms.into_iter().map(|vm| Usage {
            class: vm.class,
            zone: vm.zone,
            reclaimable: vm.reclaimable,
            seconds,
        });
        self.recorder.lock().usage.extend(usage);
    }

    async fn poll_replica(&self, progress: &mut Progress, vm: &Vm) {
        let base = format!("http://{}", vm.addr);
        let after = progress.runs.get(&vm.id).copied().unwrap_or(0);
        let Some(runs) = self
            .get::<Vec<Run>>(&format!("{base}/admin/runs?after={after}"))
            .await
        else {
            return;
        };
        progress.runs.insert(vm.id.clone(), after + runs.len() as u64);
        for run in runs {
            self.recorder.add_record(Record::Run(record::Run {
                replica: vm.id.clone(),
                number: run.number,
                call: run.request,
                dispatch: run.dispatch,
                key: run.key,
            }));
        }
        if let Some(counts) = self.get::<model::Counts>(&format!("{base}/admin/counts")).await {
            progress.counts.insert(vm.id.clone(), counts);
        }
    }

    async fn poll_node(&self, progress: &mut Progress, node: SocketAddr) {
        let url = format!("http://{node}/v1/admin/catalogue/status");
        let Some(status) = self.get::<serde_json::Value>(&url).await else {
            return;
        };
        let Some(generation) = status["applied"].as_u64() else {
            return;
        };
        if progress.generations.insert(node, generation) != Some(generation) {
            self.recorder.add_record(Record::Generation(record::Generation {
                node: node.to_string(),
                generation,
            }));
        }
    }

    async fn get<T>(&self, url: &str) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let request = self
            .client
            .get(url)
            .bearer_auth(&self.operator_token)
            .timeout(POLL_TIMEOUT);
        let response = request.send().await.ok()?.error_for_status().ok()?;
        response.json().await.ok()
    }
}
