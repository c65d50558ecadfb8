//! Deployment of the demo.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use base::Name;
use fake::Handle;
use fake::cloud::Vm;
use node::settings::Format;
use node::{Node, Settings};
use reqwest::Method;
use tokio::time::sleep;

use crate::{Client, Error};

/// Catalogue of the demo.
const CATALOGUE: &str = include_str!("demo.toml");

/// Operators' token of the demo's nodes.
const OPERATOR_TOKEN: &str = "demo-operator-token";

/// Peer secret of the demo's nodes.
const PEER_SECRET: &str = "demo-peer-secret-of-16";

/// Token of the demo's workspace; the catalogue contains its digest.
pub const WORKSPACE_TOKEN: &str = "demo-workspace-token";

/// Availability zones, with one node each.
const ZONES: [&str; 3] = ["demo-a", "demo-b", "demo-c"];

/// Number of replicas of each endpoint.
const REPLICAS_PER_ENDPOINT: usize = 2;

/// Maximum polls until a node is ready.
const READY_POLLS: u32 = 200;

/// Interval between these polls.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fake servers and nodes that run in this process.
#[derive(Debug)]
pub struct Deployment {
    fakes: Vec<Handle>,
    nodes: Vec<Node>,
}

impl Deployment {
    /// Starts the fake servers and the nodes, and waits until the nodes are ready.
    pub async fn start() -> Result<Self, Error> {
        let mut fakes = Vec::new();
        let mut vms = Vec::new();
        for index in 0..REPLICAS_PER_ENDPOINT {
            let engine = fake::engine::Server::new()
                .start(loopback())
                .await
                .map_err(|error| demo_error(&error))?;
            vms.push(create_vm(index, "assistant", "demo-engine", engine.addr()));
            let service = fake::service::Server::new()
                .start(loopback())
                .await
                .map_err(|error| demo_error(&error))?;
            vms.push(create_vm(index, "ledger", "demo-service", service.addr()));
            fakes.extend([engine, service]);
        }
        let cloud = vms
            .into_iter()
            .fold(fake::cloud::Server::new(), fake::cloud::Server::with_vm);
        let cloud = cloud
            .start(loopback())
            .await
            .map_err(|error| demo_error(&error))?;
        let store = fake::kv::Server::new()
            .start(loopback())
            .await
            .map_err(|error| demo_error(&error))?;
        let nodes = start_nodes(&store.url(), &cloud.url()).await?;
        fakes.extend([cloud, store]);
        let deployment = Self { fakes, nodes };
        deployment.apply_catalogue().await?;
        Ok(deployment)
    }

    /// Returns the URLs of the nodes.
    pub fn urls(&self) -> Vec<String> {
        self.nodes
            .iter()
            .map(|node| format!("http://{}", node.address()))
            .collect()
    }

    /// Stops the nodes, then the fake servers.
    pub async fn stop(self) {
        let stops = self.nodes.into_iter().map(Node::stop);
        futures::future::join_all(stops).await;
        drop(self.fakes);
    }

    async fn apply_catalogue(&self) -> Result<(), Error> {
        let client = Client::new(self.urls(), OPERATOR_TOKEN.to_owned())?;
        let path = "/v1/admin/catalogue?expected=0&id=demo&author=demo";
        let _accepted: serde_json::Value = client.send(Method::PUT, path, CATALOGUE.to_owned()).await?;
        for node in self.urls() {
            wait_ready(&Client::new(vec![node], OPERATOR_TOKEN.to_owned())?).await?;
        }
        Ok(())
    }
}

/// Waits until a node has applied the catalogue and knows all replicas.
async fn wait_ready(client: &Client) -> Result<(), Error> {
    for _poll in 0..READY_POLLS {
        let status: crate::command::catalogue::Status = client.get("/v1/admin/catalogue/status").await?;
        let replicas: Vec<serde_json::Value> = client.get("/v1/admin/replicas").await?;
        if status.applied == 1 && replicas.len() == 2 * REPLICAS_PER_ENDPOINT {
            return Ok(());
        }
        sleep(READY_POLL_INTERVAL).await;
    }
    Err(Error::Demo("the demo's nodes were not ready in time".to_owned()))
}

async fn start_nodes(store: &str, cloud: &str) -> Result<Vec<Node>, Error> {
    let mut nodes: Vec<Node> = Vec::new();
    for zone in ZONES {
        let settings = Settings {
            listen: loopback(),
            peer_listen: loopback(),
            name: Name::new(format!("node-{zone}")),
            zone: Name::from(zone),
            region: Name::from("demo"),
            store: store.to_owned(),
            cloud: cloud.to_owned(),
            peers: nodes.iter().map(Node::peer_address).collect(),
            peer_secret: PEER_SECRET.to_owned(),
            operator_token: OPERATOR_TOKEN.to_owned(),
            drain: Duration::from_secs(5),
            log_format: Format::Human,
            log_level: log::LevelFilter::Info,
        };
        let node = Node::start(settings)
            .await
            .map_err(|error| Error::Demo(error.to_string()))?;
        nodes.push(node);
    }
    Ok(nodes)
}

fn create_vm(index: usize, endpoint: &str, class: &str, address: SocketAddr) -> Vm {
    Vm {
        id: format!("{endpoint}-{index}"),
        endpoint: endpoint.to_owned(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        class: class.to_owned(),
        reclaimable: true,
        addr: address.to_string(),
        version: "v1".to_owned(),
        incarnation: format!("{:016x}", index + 1),
        ..Vm::default()
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn demo_error(error: &fake::Error) -> Error {
    Error::Demo(error.to_string())
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let urls = self.urls();
        let first = urls.first().map_or("", String::as_str);
        writeln!(f, "nodes: {}", urls.join(" "))?;
        writeln!(f, "try:")?;
        writeln!(f, "  curl '{first}/v1/addresses?endpoint=assistant'")?;
        writeln!(
            f,
            "  curl -N -H 'Authorization: Bearer {WORKSPACE_TOKEN}' -d '{{\"prompt\":\"hello\",\"max_tokens\":8}}' \
             {first}/v1/endpoints/assistant/v1/completions"
        )?;
        writeln!(
            f,
            "  curl -X POST -H 'Authorization: Bearer {WORKSPACE_TOKEN}' {first}/v1/endpoints/ledger/keys"
        )?;
        writeln!(
            f,
            "  BILBERRYLATCH_OPERATOR_TOKEN={OPERATOR_TOKEN} bilberrylatch --node {first} nodes"
        )?;
        write!(f, "stop with Ctrl-C")
    }
}
