//! The processes of one run and the proxies between them.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use platform::http_client::HttpClient;
use platform::{kv, name};
use standin::Faults;
use standin::record::configuration;
use store::{Client, Condition, Write};

use crate::plan::{Link, Size, Target};
use crate::process::{Executions, Process, Spec};
use crate::proxy::{Impairment, Proxy};

/// Availability zones.
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
/// First port of the processes, below the ephemeral port range.
const FIRST_PORT: u16 = 10_000;
/// Pause before a call to the store is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a call that changes the store's faults.
const FAULTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Paths of the programs and of the logs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Daemon.
    pub daemon: PathBuf,
    /// Earlier build of the daemon, with which the nodes start; `None` if they start with the current one.
    pub earlier: Option<PathBuf>,
    /// The soak test program, which also runs the stand-ins.
    pub soak: PathBuf,
    /// Log directory.
    pub logs: PathBuf,
}

/// The processes and proxies of one run.
#[derive(Debug)]
pub struct Deployment {
    /// The store.
    pub store: Process,
    /// The nodes.
    pub nodes: Vec<Process>,
    /// The replicas.
    pub replicas: Vec<Process>,
    /// Addresses of the proxies through which callers reach the nodes.
    pub proxy_addresses: Vec<SocketAddr>,
    /// Addresses on which the nodes listen for callers.
    pub listen_addresses: Vec<SocketAddr>,
    /// How often replicas executed each request.
    pub executions: Executions,
    links: HashMap<Link, Proxy>,
    client: Client,
    http: reqwest::Client,
    faults_url: String,
    version: AtomicU64,
}

impl Deployment {
    /// Starts all processes without waiting until they are ready.
    pub async fn start(programs: &Programs, size: Size, seed: u64) -> io::Result<Self> {
        let mut ports = Ports::new();
        let executions = Executions::default();
        let standin = |arguments: Vec<String>, log: &str| {
            let spec = Spec {
                program: programs.soak.clone(),
                arguments,
                variables: Vec::new(),
                log: programs.logs.join(log),
            };
            Process::new(spec, Executions::clone(&executions))
        };
        let store_address = ports.allocate();
        let store = standin(
            to_strings(&["store", "--listen", &store_address.to_string()]),
            "store.log",
        );
        store.start()?;
        let mut links = HashMap::new();
        let mut replicas = Vec::new();
        for number in 0..size.replicas {
            let listen = ports.allocate();
            let proxy = Proxy::start(listen).await?;
            let replica = standin(
                to_strings(&[
                    "replica",
                    "--id",
                    &format!("i-{number}"),
                    "--zone",
                    ZONES[number % ZONES.len()],
                    "--listen",
                    &listen.to_string(),
                    "--reached-at",
                    &proxy.address.to_string(),
                    "--store",
                    &store_address.to_string(),
                    "--seed",
                    &(seed + number as u64).to_string(),
                ]),
                &format!("replica-{number}.log"),
            );
            replica.start()?;
            replicas.push(replica);
            links.insert(Link::Replica(number), proxy);
        }
        let mut deployment = Self {
            store,
            nodes: Vec::new(),
            replicas,
            proxy_addresses: Vec::new(),
            listen_addresses: Vec::new(),
            executions,
            links,
            client: Client::new(kv::Kv::new(HttpClient::new(store_address, Clock::new()))),
            http: reqwest::Client::builder()
                .no_proxy()
                .timeout(FAULTS_TIMEOUT)
                .build()
                .map_err(io::Error::other)?,
            faults_url: format!("http://{store_address}/admin/faults"),
            version: AtomicU64::new(0),
        };
        deployment.restore_key().await;
        for number in 0..size.nodes {
            deployment
                .add_node(programs, &mut ports, store_address, number)
                .await?;
        }
        Ok(deployment)
    }

    async fn add_node(
        &mut self,
        programs: &Programs,
        ports: &mut Ports,
        store: SocketAddr,
        number: usize,
    ) -> io::Result<()> {
        let listen = ports.allocate();
        let caller_proxy = Proxy::start(listen).await?;
        let store_proxy = Proxy::start(store).await?;
        let mut variables = vec![
            ("NAME", format!("node-{number}")),
            ("ZONE", ZONES[number % ZONES.len()].to_owned()),
            ("LISTEN", listen.to_string()),
            ("PEER_LISTEN", ports.allocate().to_string()),
            ("STORE", store_proxy.address.to_string()),
            ("CLOUD", store_proxy.address.to_string()),
        ];
        for name in ["READY_LISTEN", "DIRECTORY_LISTEN", "METRICS_LISTEN"] {
            variables.push((name, ports.allocate().to_string()));
        }
        let prefixed = |(name, value)| (format!("BILBERRYLATCH_{name}"), value);
        let spec = Spec {
            program: programs.earlier.as_ref().unwrap_or(&programs.daemon).clone(),
            arguments: to_strings(&["platform"]),
            variables: variables.into_iter().map(prefixed).collect(),
            log: programs.logs.join(format!("node-{number}.log")),
        };
        let node = Process::new(spec, Executions::clone(&self.executions));
        node.start()?;
        self.nodes.push(node);
        self.listen_addresses.push(listen);
        self.proxy_addresses.push(caller_proxy.address);
        self.links.insert(Link::Callers(number), caller_proxy);
        self.links.insert(Link::Store(number), store_proxy);
        Ok(())
    }

    /// Returns the process of a target.
    pub fn process(&self, target: Target) -> &Process {
        match target {
            Target::Node(number) => &self.nodes[number],
            Target::Replica(number) => &self.replicas[number],
        }
    }

    /// Returns all processes except the store.
    pub fn processes(&self) -> impl Iterator<Item = &Process> {
        self.nodes.iter().chain(&self.replicas)
    }

    /// Sets the impairment of a link from now on.
    pub fn impair(&self, link: Link, impairment: Impairment) {
        self.links[&link].set(impairment);
    }

    /// Removes the impairments of all links.
    pub fn clear_impairments(&self) {
        for proxy in self.links.values() {
            proxy.set(Impairment::None);
        }
    }

    /// Sets the faults of the store; retries until the store has accepted them.
    pub async fn set_faults(&self, faults: Faults) {
        loop {
            let sent = self.http.put(&self.faults_url).json(&faults).send().await;
            match sent.and_then(reqwest::Response::error_for_status) {
                Ok(_response) => return,
                Err(_error) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Revokes the second API key; returns whether the store has confirmed it.
    pub async fn revoke_key(&self) -> bool {
        self.write_configuration(&["key-1"]).await
    }

    /// Restores the second API key; retries until the store has confirmed it.
    pub async fn restore_key(&self) {
        while !self.write_configuration(&["key-1", "key-2"]).await {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn write_configuration(&self, keys: &[&str]) -> bool {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let value = Bytes::from(configuration(version, keys).to_string());
        let write = Write::new(name::CONFIGURATION_KEY, value, Condition::Any);
        self.client.write(&write).await.is_ok()
    }

    /// Kills the remaining processes and waits until all executions are counted.
    pub fn finish(&self) {
        for process in self.processes().chain([&self.store]) {
            process.finish();
        }
    }
}

fn to_strings(list: &[&str]) -> Vec<String> {
    list.iter().map(|&text| text.to_owned()).collect()
}

/// Allocates addresses that processes keep across restarts.
///
/// Free ports chosen by the system are not used: a proxy could get such a port before the process binds it.
#[derive(Debug)]
struct Ports {
    host: Ipv4Addr,
    next: u16,
}

impl Ports {
    fn new() -> Self {
        Self {
            host: loopback_host(),
            next: FIRST_PORT,
        }
    }

    fn allocate(&mut self) -> SocketAddr {
        let address = SocketAddr::from((self.host, self.next));
        self.next += 1;
        address
    }
}

/// Returns a loopback address of this run alone, so that no process of another run can bind a port that is free
/// during a restart.
fn loopback_host() -> Ipv4Addr {
    static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);
    const HIGH_BITS: u32 = 8;
    let pid = std::process::id();
    let [high, low] = [(pid >> HIGH_BITS) as u8, pid as u8];
    Ipv4Addr::new(127, high.max(1), low, DEPLOYMENTS.fetch_add(1, Ordering::Relaxed))
}

/// Whether a log contains a panic message.
pub fn has_panicked(log: &Path) -> bool {
    std::fs::read_to_string(log).is_ok_and(|text| text.contains("panicked at"))
}
