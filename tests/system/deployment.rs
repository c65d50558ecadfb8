//! A small deployment of real processes: fakes of the platform and the replicas, and nodes.

use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use serde_json::{Value, json};

use crate::process::Process;

/// Token of the operators' API.
pub const OPERATOR_TOKEN: &str = "system-test-operator";

/// Secret that the nodes share.
const PEER_SECRET: &str = "system-test-peer-secret";

/// Token of the test workspace. The catalogue contains its digest.
pub const WORKSPACE_TOKEN: &str = "demo-workspace-token";

/// Number of polls for an expected state before a test fails, and the interval between them.
const POLL_ATTEMPTS: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Availability zones of the deployment.
pub const ZONES: [&str; 3] = ["demo-a", "demo-b", "demo-c"];

/// The processes of one deployment, and a client for requests to them.
#[derive(Debug)]
pub struct Deployment {
    host: Ipv4Addr,
    pub kv: Process,
    pub cloud: Process,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub nodes: Vec<Process>,
    pub client: Client,
}

impl Deployment {
    /// Starts the fakes with two replicas per endpoint and `nodes` nodes across three zones, applies the catalogue
    /// and waits until the nodes are ready.
    pub async fn start(nodes: usize) -> Self {
        let deployment = Self::start_without_catalogue(nodes).await;
        let file = Self::catalogue_file();
        let applied = deployment.run_cli(&["catalogue", "apply", "--wait", file.to_str().unwrap()]);
        assert!(
            applied.status.success(),
            "{}",
            String::from_utf8_lossy(&applied.stderr)
        );
        deployment.wait_until_ready().await;
        deployment
    }

    async fn start_without_catalogue(nodes: usize) -> Self {
        let host = next_loopback_address();
        let kv = start_fake(host, &["kv"]);
        let cloud = start_fake(host, &["cloud"]);
        let engines = vec![start_fake(host, &["engine"]), start_fake(host, &["engine"])];
        let services = vec![start_fake(host, &["service"]), start_fake(host, &["service"])];
        let client = Client::builder().no_proxy().build().unwrap();
        let mut deployment = Self {
            host,
            kv,
            cloud,
            engines,
            services,
            nodes: Vec::new(),
            client,
        };
        deployment.register_replicas("assistant", "demo-engine").await;
        deployment.register_replicas("ledger", "demo-service").await;
        for index in 0..nodes {
            let node = deployment.start_node(index);
            deployment.nodes.push(node);
        }
        deployment
    }

    /// Starts a node whose name and zone are derived from `index`.
    pub fn start_node(&self, index: usize) -> Process {
        let peers: Vec<String> = self
            .nodes
            .iter()
            .filter_map(|node| node.peer_address)
            .map(|address| address.to_string())
            .collect();
        let any_port = format!("{}:0", self.host);
        let mut command = Command::new(env!("CARGO_BIN_EXE_bilberrylatchd"));
        command
            .env("BILBERRYLATCH_PEER_SECRET", PEER_SECRET)
            .env("BILBERRYLATCH_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("BILBERRYLATCH_PEERS", peers.join(","))
            .args([
                "--listen",
                &any_port,
                "--peer-listen",
                &any_port,
                "--region",
                "demo",
            ])
            .args([
                "--name",
                &format!("node-{index}"),
                "--zone",
                ZONES[index % ZONES.len()],
            ])
            .args([
                "--store",
                &self.kv.url(),
                "--cloud",
                &self.cloud.url(),
                "--drain-seconds",
                "20",
            ]);
        Process::start(&mut command)
    }

    /// Registers the replicas of an endpoint with the fake cloud.
    pub async fn register_replicas(&self, endpoint: &str, class: &str) {
        let replicas = if endpoint == "assistant" {
            &self.engines
        } else {
            &self.services
        };
        for (index, replica) in replicas.iter().enumerate() {
            self.register_replica(endpoint, class, index, replica, "v1").await;
        }
    }

    async fn register_replica(
        &self,
        endpoint: &str,
        class: &str,
        index: usize,
        replica: &Process,
        version: &str,
    ) {
        let vm = json!({
            "id": format!("{endpoint}-{index}"), "kind": "replica", "endpoint": endpoint,
            "zone": ZONES[index % ZONES.len()], "class": class, "reclaimable": true,
            "addr": replica.address.to_string(), "version": version, "model": "", "state": "live",
            "incarnation": format!("{:016x}", index + 1),
        });
        let url = format!("{}/admin/vms/{endpoint}-{index}", self.cloud.url());
        self.client
            .put(url)
            .json(&vm)
            .send()
            .await
            .unwrap()
            .error_for_status()
            .unwrap();
    }

    /// Runs the command-line tool against the nodes and blocks until it exits.
    pub fn run_cli(&self, arguments: &[&str]) -> Output {
        let urls: Vec<String> = self.nodes.iter().map(Process::url).collect();
        Command::new(env!("CARGO_BIN_EXE_bilberrylatch"))
            .env("BILBERRYLATCH_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("BILBERRYLATCH_NODE", urls.join(","))
            .args(arguments)
            .output()
            .expect("the command-line tool should run")
    }

    /// Runs the command-line tool against the nodes without blocking the test's thread.
    pub async fn run_cli_async(&self, arguments: &[&str]) -> Output {
        let urls: Vec<String> = self.nodes.iter().map(Process::url).collect();
        let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_bilberrylatch"));
        command
            .env("BILBERRYLATCH_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("BILBERRYLATCH_NODE", urls.join(","))
            .args(arguments);
        command.output().await.expect("the command-line tool should run")
    }

    /// Starts and registers `count` more replicas of the ledger that run `version`.
    pub async fn with_ledger_replicas(mut self, version: &str, count: usize) -> Self {
        for _replica in 0..count {
            let index = self.services.len();
            let service = start_fake(self.host, &["service", "--version", version]);
            self.register_replica("ledger", "demo-service", index, &service, version)
                .await;
            self.services.push(service);
        }
        self
    }

    /// Path of the catalogue, which these tests share with the demo.
    pub fn catalogue_file() -> PathBuf {
        PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("crates/ctl/src/demo/demo.toml")
    }

    /// Waits until every node has a catalogue, lists every replica and sees every node alive.
    pub async fn wait_until_ready(&self) {
        for node in &self.nodes {
            let replica_count = self.engines.len() + self.services.len();
            self.wait_for(node, "/v1/admin/replicas", |list| {
                list.as_array().is_some_and(|list| list.len() == replica_count)
            })
            .await;
            self.wait_for(node, "/v1/admin/catalogue/status", |status| {
                status["applied"] != json!(0)
            })
            .await;
            let is_alive = |node: &Value| node["state"] == json!("alive");
            let count_alive = |list: &Value| {
                list.as_array()
                    .map_or(0, |list| list.iter().filter(|node| is_alive(node)).count())
            };
            self.wait_for(node, "/v1/admin/nodes", |list| {
                count_alive(list) == self.nodes.len()
            })
            .await;
        }
    }

    /// Polls a resource of the operators' API at `node` until it satisfies `is_expected`, and returns it.
    pub async fn wait_for<F>(&self, node: &Process, path: &str, is_expected: F) -> Value
    where
        F: Fn(&Value) -> bool,
    {
        let mut last = Value::Null;
        for _attempt in 0..POLL_ATTEMPTS {
            if let Ok(response) = self.operator_request(node, path).send().await {
                last = response.json().await.unwrap_or_default();
                if is_expected(&last) {
                    return last;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "{path} at {} did not reach the expected state: {last}",
            node.address
        )
    }

    fn operator_request(&self, node: &Process, path: &str) -> RequestBuilder {
        self.client
            .get(format!("{}{path}", node.url()))
            .bearer_auth(OPERATOR_TOKEN)
    }

    /// Builds a request of the test workspace to an endpoint through `node`.
    pub fn workspace_request(&self, node: &Process, endpoint: &str, path: &str) -> RequestBuilder {
        self.client
            .post(format!("{}/v1/endpoints/{endpoint}/{path}", node.url()))
            .bearer_auth(WORKSPACE_TOKEN)
    }

    /// Requests an idempotency key that `node` issues.
    pub async fn issue_key(&self, node: &Process) -> String {
        let issued: Value = self
            .workspace_request(node, "ledger", "keys")
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        issued["key"]
            .as_str()
            .expect("the response should contain a key")
            .to_owned()
    }

    /// Returns the request executions that the ledger's replicas recorded, as one JSON object each.
    pub async fn runs(&self) -> Vec<Value> {
        let mut runs = Vec::new();
        for service in &self.services {
            let url = format!("{}/admin/runs?after=0", service.url());
            let list: Vec<Value> = self.client.get(url).send().await.unwrap().json().await.unwrap();
            runs.extend(list);
        }
        runs
    }

    /// Replaces the injected faults of a fake.
    pub async fn set_faults(&self, target: &Process, faults: Value) {
        let url = format!("{}/admin/faults", target.url());
        self.client
            .put(url)
            .json(&faults)
            .send()
            .await
            .unwrap()
            .error_for_status()
            .unwrap();
    }
}

fn start_fake(host: Ipv4Addr, arguments: &[&str]) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bilberrylatch-fake"));
    Process::start(command.args(arguments).args(["--listen", &format!("{host}:0")]))
}

/// Returns a loopback address for one deployment, derived from the process ID and a counter.
///
/// NB: on a shared address, the system can reassign the port of a killed program to a program of another test,
/// which would then receive requests meant for the killed one.
fn next_loopback_address() -> Ipv4Addr {
    static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
    const HIGH_BITS: u32 = 8;
    let pid = std::process::id();
    let [high, low] = [(pid >> HIGH_BITS) as u8, pid as u8];
    Ipv4Addr::new(127, high.max(1), low, DEPLOYMENTS.fetch_add(1, Ordering::Relaxed))
}
