//! The processes of a run, and the links between nodes and replicas.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};

use futures::future::join_all;
use indexmap::IndexMap;
use platform::name;
use serde_json::Value;
use standin::record::{Route, configuration_with, registration_of};
use standin::{Behavior, Gate, Kv, Link, Replica};

use super::plan::ZONES;
use crate::process::{Executions, Process, Spec};

/// First port of the replicas, and of the links to them on each node's host.
const FIRST_REPLICA_PORT: u16 = 20_000;
/// Ports of a node on its host.
const PORTS: [(&str, u16); 5] = [
    ("LISTEN", 9_001),
    ("READY_LISTEN", 9_002),
    ("DIRECTORY_LISTEN", 9_003),
    ("METRICS_LISTEN", 9_004),
    ("PEER_LISTEN", 9_005),
];
/// Last byte of the replicas' host and of the first node's.
const REPLICA_HOST: u8 = 10;
const FIRST_NODE_HOST: u8 = 20;
/// Number of large nodes of each zone, and the shares of a core that large and small nodes have.
const LARGE_NODES: usize = 2;
const LARGE_SHARE: f64 = 0.5;
const SMALL_SHARE: f64 = 0.12;
/// Settings that all nodes share.
const SETTINGS: [(&str, &str); 8] = [
    ("STORE_READS", "6000"),
    ("STORE_WRITES", "1200"),
    ("KEY_LIFE_MS", "6000"),
    ("APPLY_MS", "3000"),
    ("REPLICA_HEARTBEAT_MS", "1200"),
    ("RETRY_RATIO", "0.1"),
    ("RETRY_SLACK", "182"),
    ("QUOTA_SLACK", "190000"),
];

/// An endpoint and how its replicas handle requests.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    name: &'static str,
    slots: u32,
    /// Maximum number of connections to a replica.
    connections: u32,
    behavior: Behavior,
}

const LARGE: Endpoint = Endpoint {
    name: "pool",
    slots: 64,
    connections: 750,
    behavior: Behavior::Paced { last: 8, millis: 100 },
};
const SMALL: Endpoint = Endpoint {
    name: "ledger",
    slots: 6,
    connections: 490,
    behavior: Behavior::Slow(15),
};
/// Number of replicas of the small endpoint.
const SMALL_REPLICAS: usize = 3;

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    pub nodes: Vec<Process>,
    pub addresses: Vec<SocketAddr>,
    replicas: Vec<Replica>,
    /// The links of each node to each replica.
    links: Vec<Vec<Gate>>,
}

impl Cluster {
    /// Starts all processes without waiting until they are ready.
    pub async fn start(program: &Path, logs: &Path, nodes: usize, replicas: usize) -> io::Result<Self> {
        let network = loopback_network();
        let kv = Kv::start().await?;
        kv.put(name::CONFIGURATION_KEY, &configuration());
        let mut cluster = Self {
            nodes: Vec::new(),
            addresses: Vec::new(),
            replicas: Vec::new(),
            links: Vec::new(),
        };
        for number in 0..replicas {
            let endpoint = if number < SMALL_REPLICAS { SMALL } else { LARGE };
            let id = format!("i-{number}");
            let address = SocketAddr::new(host(network, REPLICA_HOST), FIRST_REPLICA_PORT + number as u16);
            let replica = Replica::start_at(&id, address, endpoint.behavior).await?;
            let registration =
                registration_of(endpoint.name, endpoint.slots, address, &zone(number), "ready");
            kv.put(&format!("{}{id}", name::REPLICA_PREFIX), &registration);
            cluster.replicas.push(replica);
        }
        for number in 0..nodes {
            cluster
                .start_node(program, logs, network, kv.address, number)
                .await?;
        }
        Ok(cluster)
    }

    async fn start_node(
        &mut self,
        program: &Path,
        logs: &Path,
        network: [u8; 3],
        store: SocketAddr,
        number: usize,
    ) -> io::Result<()> {
        let host = host(network, FIRST_NODE_HOST + number as u8);
        let mut links = Vec::new();
        for replica in &self.replicas {
            let address = SocketAddr::new(host, replica.address.port());
            links.push(Gate::open_at(address, replica.address).await?);
        }
        self.links.push(links);
        let share = if number / ZONES < LARGE_NODES {
            LARGE_SHARE
        } else {
            SMALL_SHARE
        };
        let mut variables: Vec<(&str, String)> = SETTINGS
            .iter()
            .map(|(name, value)| (*name, (*value).to_owned()))
            .collect();
        variables.extend(PORTS.map(|(name, port)| (name, SocketAddr::new(host, port).to_string())));
        variables.extend([
            ("NAME", format!("node-{number}")),
            ("ZONE", zone(number)),
            ("STORE", store.to_string()),
            ("CLOUD", store.to_string()),
            ("CPU_SHARE", share.to_string()),
        ]);
        let prefixed = |(name, value)| (format!("BILBERRYLATCH_{name}"), value);
        let spec = Spec {
            program: program.to_owned(),
            arguments: vec!["node".to_owned(), "--replicas-at".to_owned(), host.to_string()],
            variables: variables.into_iter().map(prefixed).collect(),
            log: logs.join(format!("node-{number}.log")),
        };
        let node = Process::new(spec, Executions::default());
        node.start()?;
        self.nodes.push(node);
        self.addresses.push(SocketAddr::new(host, PORTS[0].1));
        Ok(())
    }

    /// Sets the links of a node, one for each replica.
    pub async fn set_links<F>(&self, node: usize, mut link: F)
    where
        F: FnMut() -> Link,
    {
        join_all(self.links[node].iter().map(|gate| gate.set(link()))).await;
    }

    /// How often replicas ran each request.
    pub fn runs(&self) -> IndexMap<String, usize> {
        let mut runs = IndexMap::new();
        for id in self.replicas.iter().flat_map(Replica::received_ids) {
            *runs.entry(id).or_default() += 1;
        }
        runs
    }

    /// Kills the nodes.
    pub fn finish(&self) {
        for node in &self.nodes {
            node.finish();
        }
    }
}

/// The first three bytes of the loopback addresses of this run alone.
fn loopback_network() -> [u8; 3] {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    [127, high.wrapping_add(RUNS.fetch_add(1, Ordering::Relaxed)), low]
}

fn host([first, second, third]: [u8; 3], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(first, second, third, last))
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn configuration() -> Value {
    let route = |name, endpoint: Endpoint, kind, max_attempts, resume| Route {
        name,
        endpoint: endpoint.name,
        kind,
        max_attempts,
        resume,
        timeout_ms: 10_000,
        target_latency_ms: 800,
    };
    let routes = [
        route("fragile", LARGE, "streaming", 1, false),
        route("stream", LARGE, "streaming", 2, true),
        route("unsafe", SMALL, "unsafe", 1, false),
        route("safe", SMALL, "safe", 2, false),
    ];
    let endpoints = [LARGE, SMALL].map(|it| (it.name, it.connections));
    configuration_with(7, &["key-1"], &routes, &endpoints)
}
