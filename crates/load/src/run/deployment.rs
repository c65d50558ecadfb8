//! Deployment of an experiment: fake servers and nodes that run as tasks of this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use base::{Millis, Name, Seed};
use catalogue::Catalogue;
use fake::Handle;
use fake::cloud::Vm;
use fake::cloud::vm::Kind;
use node::Settings;
use node::settings::Format;
use reqwest::Client;
use serde_json::Value;

use super::caller;
use super::config::{Experiment, Replicas};
use super::supervisor::Supervisor;
use crate::{Error, file};

/// Operator token and peer secret used in experiments.
const OPERATOR_TOKEN: &str = "load-operator-token";
const PEER_SECRET: &str = "load-peer-secret-of-16";
/// Maximum number of polls until the catalogue is in force, and the interval between them.
const READY_POLLS: u32 = 400;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum duration of a node's graceful shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// A replica and its VM.
#[derive(Debug)]
pub struct Replica {
    /// VM entry of the replica.
    pub vm: Vm,
    handle: Option<Handle>,
}

/// All servers of an experiment.
#[derive(Debug)]
pub struct Deployment {
    /// Catalogue of the experiment.
    pub catalogue: Catalogue,
    /// URL of the key-value service.
    pub store_url: String,
    /// URL of the cloud API.
    pub cloud_url: String,
    /// Addresses of all nodes at the start.
    pub nodes: Vec<SocketAddr>,
    /// All replicas at the start.
    pub replicas: Vec<Replica>,
    supervisors: Vec<Option<Supervisor>>,
    platform_handles: Vec<Handle>,
    client: Client,
}

impl Deployment {
    /// Starts all servers and waits until every node has applied the catalogue and knows all replicas.
    pub async fn start(experiment: &Experiment, file: &Path, client: Client) -> Result<Self, Error> {
        let text = read_catalogue(experiment, file)?;
        let catalogue = Catalogue::parse(&text).map_err(deployment_error)?;
        let store = fake::kv::Server::new()
            .start(loopback())
            .await
            .map_err(deployment_error)?;
        let replicas = start_replicas(experiment, &catalogue).await?;
        let vms = replicas.iter().map(|replica| replica.vm.clone());
        let cloud = vms.fold(fake::cloud::Server::new(), fake::cloud::Server::with_vm);
        let cloud = cloud.start(loopback()).await.map_err(deployment_error)?;
        let mut deployment = Self {
            catalogue,
            store_url: store.url(),
            cloud_url: cloud.url(),
            nodes: Vec::new(),
            replicas,
            supervisors: Vec::new(),
            platform_handles: vec![store, cloud],
            client,
        };
        deployment.start_nodes(experiment.nodes as usize).await?;
        deployment.apply(text).await?;
        Ok(deployment)
    }

    /// Sends a JSON body to an admin route of a fake server or node.
    pub async fn send(&self, method: reqwest::Method, url: &str, body: &Value) -> Result<(), Error> {
        let request = self
            .client
            .request(method, url)
            .bearer_auth(OPERATOR_TOKEN)
            .json(body);
        let response = request.send().await.map_err(deployment_error)?;
        response.error_for_status().map_err(deployment_error)?;
        Ok(())
    }

    /// Reads JSON from an admin route of a node.
    pub async fn read(&self, node: SocketAddr, path: &str) -> Option<Value> {
        let request = self
            .client
            .get(format!("http://{node}{path}"))
            .bearer_auth(OPERATOR_TOKEN);
        request.send().await.ok()?.json().await.ok()
    }

    /// Operator token of the deployment.
    pub const fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Removes a running node from the deployment so that the caller can stop it.
    pub(super) fn take_node(&mut self, index: usize) -> Option<Supervisor> {
        self.supervisors.get_mut(index)?.take()
    }

    /// Kills the reclaimable replicas of a zone.
    pub fn kill_zone(&mut self, zone: &str) {
        for replica in &mut self.replicas {
            if replica.vm.zone == zone && replica.vm.reclaimable {
                replica.handle = None;
            }
        }
    }

    /// Stops the nodes, then the fake servers.
    pub async fn stop(self) {
        let shutdowns = self.supervisors.into_iter().flatten().map(Supervisor::stop);
        futures::future::join_all(shutdowns).await;
        drop(self.platform_handles);
    }

    async fn start_nodes(&mut self, count: usize) -> Result<(), Error> {
        let mut peers = Vec::new();
        for index in 0..count {
            let zone = self.catalogue.zones[index % self.catalogue.zones.len()].clone();
            let settings = Settings {
                listen: loopback(),
                peer_listen: loopback(),
                name: Name::new(format!("node-{index}")),
                zone,
                region: self.catalogue.region.clone(),
                store: self.store_url.clone(),
                cloud: self.cloud_url.clone(),
                peers: peers.clone(),
                peer_secret: PEER_SECRET.to_owned(),
                operator_token: OPERATOR_TOKEN.to_owned(),
                drain: DRAIN_TIMEOUT,
                log_format: Format::Human,
                log_level: log::LevelFilter::Warn,
            };
            let node = Supervisor::start(settings).await.map_err(deployment_error)?;
            peers.push(node.peer_address);
            self.nodes.push(node.address);
            self.supervisors.push(Some(node));
        }
        Ok(())
    }

    async fn apply(&self, text: String) -> Result<(), Error> {
        let url = format!(
            "http://{}/v1/admin/catalogue?expected=0&id=load&author=load",
            self.nodes[0]
        );
        let request = self.client.put(url).bearer_auth(OPERATOR_TOKEN).body(text);
        let response = request.send().await.map_err(deployment_error)?;
        if !response.status().is_success() {
            let message = response.text().await.unwrap_or_default();
            return Err(Error::Deployment(format!("catalogue rejected: {message}")));
        }
        for node in &self.nodes {
            self.wait_ready(*node).await?;
        }
        Ok(())
    }

    async fn wait_ready(&self, node: SocketAddr) -> Result<(), Error> {
        let mut visible = 0;
        let mut applied = None;
        for _poll in 0..READY_POLLS {
            let status = self
                .read(node, "/v1/admin/catalogue/status")
                .await
                .unwrap_or_default();
            let replicas = self.read(node, "/v1/admin/replicas").await.unwrap_or_default();
            visible = replicas.as_array().map_or(0, Vec::len);
            applied = status["applied"].as_u64();
            if applied == Some(1) && visible == self.replicas.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        let expected = self.replicas.len();
        let message = format!("node {node} applied {applied:?} and sees {visible} of {expected} replicas");
        Err(Error::Deployment(message))
    }
}

/// Reads the experiment's catalogue and replaces the workspace tokens by tokens of this tool.
fn read_catalogue(experiment: &Experiment, file: &Path) -> Result<String, Error> {
    let path = file
        .parent()
        .unwrap_or(Path::new("."))
        .join(&experiment.catalogue);
    let mut table = file::read_toml::<toml::Table>(&path)?;
    let workspaces = table.get_mut("workspace").and_then(toml::Value::as_array_mut);
    for workspace in workspaces.into_iter().flatten() {
        let Some(workspace) = workspace.as_table_mut() else {
            continue;
        };
        let name = workspace.get("name").and_then(toml::Value::as_str);
        let digest = catalogue::token::digest(&caller::workspace_token(name.unwrap_or_default()));
        workspace.insert("token_digest".to_owned(), digest.into());
    }
    toml::to_string(&table).map_err(deployment_error)
}

async fn start_replicas(experiment: &Experiment, catalogue: &Catalogue) -> Result<Vec<Replica>, Error> {
    let mut replicas = Vec::new();
    for group in &experiment.replicas {
        let Some(endpoint) = catalogue.endpoint(&group.endpoint) else {
            let message = format!(
                "endpoint '{}' of a replica group is not in the catalogue",
                group.endpoint
            );
            return Err(Error::Deployment(message));
        };
        for index in 0..group.count as usize {
            let number = replicas.len() as u64 + 1;
            let seed = Seed(experiment.seed).derive(number);
            let is_engine = endpoint.kind == catalogue::endpoint::Kind::Engine;
            let handle = start_replica(group, is_engine, seed).await?;
            let vm = Vm {
                id: format!("{}-{number}", group.endpoint),
                kind: Kind::Replica,
                endpoint: group.endpoint.clone(),
                zone: catalogue.zones[index % catalogue.zones.len()].to_string(),
                class: endpoint.class.to_string(),
                reclaimable: group.reclaimable,
                addr: handle.addr().to_string(),
                version: group.version.clone(),
                incarnation: format!("{number:016x}"),
                ..Vm::default()
            };
            let handle = Some(handle);
            replicas.push(Replica { vm, handle });
        }
    }
    Ok(replicas)
}

async fn start_replica(group: &Replicas, is_engine: bool, seed: Seed) -> Result<Handle, Error> {
    if is_engine {
        let engine = fake::engine::Server::new()
            .with_config(group.engine.clone())
            .with_version(&group.version)
            .with_lag(Millis(group.lag_ms))
            .with_faults(group.faults.clone())
            .with_seed(seed);
        return engine.start(loopback()).await.map_err(deployment_error);
    }
    let service = fake::service::Server::new()
        .with_version(&group.version)
        .with_lag(Millis(group.lag_ms))
        .with_work_time(Millis(group.work_ms))
        .with_capacity(group.capacity)
        .with_faults(group.faults.clone())
        .with_seed(seed);
    service.start(loopback()).await.map_err(deployment_error)
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn deployment_error<E>(error: E) -> Error
where
    E: std::fmt::Display,
{
    Error::Deployment(error.to_string())
}
