//! A small deployment: the nodes of four zones, the store, the platform's API and the servers of one service.

use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::node::{Fields, Node, free_network, wait_ready};
use crate::record::Record;
use crate::replica::{Handler, Replica, Runs};
use crate::store::{Cloud, Store};

/// The zones of the nodes.
pub const NODE_ZONES: [&str; 6] = ["cymru-a", "cymru-a", "cymru-b", "cymru-b", "cymru-c", "cymru-d"];
/// The zones of the servers.
pub const ZONES: [&str; 4] = ["cymru-a", "cymru-b", "cymru-c", "cymru-d"];
/// Name of the service, and the slots of its servers.
pub const SERVICE: &str = "cyfrif";
const SLOTS: usize = 6;
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const START_LIMIT: Duration = Duration::from_secs(15);

/// A folder that is removed in the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = std::fs::remove_dir_all(&self.0);
        }
    }
}

pub struct Deployment {
    pub nodes: Vec<Node>,
    pub replicas: Vec<Replica>,
    pub store: Store,
    pub cloud: Cloud,
    pub runs: Runs,
    pub record: Record,
    _folder: Folder,
}

/// A configuration with a safe and an unsafe route.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":8000,\
             \"target-latency-ms\":100,\"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":{attempts},\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\
         \"max-connections\":96}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":2000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"],\
         \"plain-tokens\":200,\"rate-per-s\":0}}]}}",
        route("unsafe", "unsafe", 1),
        route("safe", "safe", 2)
    )
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

impl Deployment {
    /// Starts everything and waits until all nodes are ready.
    pub fn start(record_folder: &Path, handler: Handler) -> Result<Self, String> {
        Self::start_with(record_folder, handler, NODE_ZONES.len())
    }

    pub fn start_with(record_folder: &Path, handler: Handler, nodes: usize) -> Result<Self, String> {
        let fail = |error: std::io::Error| error.to_string();
        let root = std::env::current_dir().map_err(fail)?;
        if !root.join("target/release/bilberrylatchd").exists() {
            return Err("no program: run the build of the deploy file first".to_owned());
        }
        let record = Record::create(&record_folder.join("record.txt")).map_err(fail)?;
        let folder = Folder::create().map_err(fail)?;
        let store = Store::start(listen());
        let cloud = Cloud::start(listen());
        let runs = Runs::default();
        let replicas: Vec<Replica> = ZONES
            .iter()
            .enumerate()
            .map(|(index, zone)| {
                Replica::start(SERVICE, &format!("i-{}", index + 1), zone, SLOTS, &runs, handler.clone())
            })
            .collect();
        store.put("op/config", &configuration(7));
        register(&store, &replicas, 1);
        let network = free_network().ok_or("no free loopback network")?;
        let fields = Fields::new(store.address, cloud.address);
        let mut started = Vec::new();
        for (index, zone) in NODE_ZONES.iter().enumerate().take(nodes) {
            let ip = Ipv4Addr::new(network[0], network[1], network[2], index as u8 + 1);
            let name = format!("front-{zone}-{}", index + 1);
            let mut node = Node::new(&root, &folder.0, &fields, &name, zone, ip).map_err(fail)?;
            node.start().map_err(fail)?;
            started.push(node);
        }
        if !wait_ready(&started, START_LIMIT) {
            return Err("the nodes didn't become ready".to_owned());
        }
        // By then all nodes know each other and the servers.
        std::thread::sleep(Duration::from_secs(2));
        {
            let (store, replicas) = (store.clone(), replicas.clone());
            std::thread::spawn(move || {
                for sequence in 2.. {
                    std::thread::sleep(HEARTBEAT);
                    register(&store, &replicas, sequence);
                }
            });
        }
        Ok(Self { nodes: started, replicas, store, cloud, runs, record, _folder: folder })
    }
}

/// Writes the servers' entries.
pub fn register(store: &Store, replicas: &[Replica], sequence: u64) {
    for replica in replicas {
        store.put(&format!("servers/{}", replica.id), &replica.entry("ready", sequence));
    }
}
