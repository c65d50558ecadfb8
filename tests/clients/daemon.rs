//! A daemon as a process of its own, with the platform's stand-ins beside it.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use standin::record::{Route, configuration_with, registration};
use standin::{Behavior, Kv, Replica};

use crate::process::{Process, unused_address};

/// Requests for which a replica's behavior is planned: more than the clients still send to one.
const PLANNED: usize = 200;
/// Replicas of the endpoint.
const REPLICAS: usize = 8;
/// Its time-out is longer than the slowest client takes for its body.
const ROUTE: Route = Route {
    name: "safe",
    endpoint: "ledger",
    kind: "safe",
    max_attempts: 2,
    resume: false,
    timeout_ms: 15_000,
    target_latency_ms: 200,
};
/// Maximum wait until the daemon answers requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Memory and descriptors of the VM.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    pub memory_mb: u64,
    pub max_fds: usize,
}

/// One of the daemon's addresses.
#[derive(Clone, Copy, Debug)]
pub enum Address {
    Front,
    Directory,
    Peer,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    process: Process,
    directory: SocketAddr,
    peer: SocketAddr,
    _kv: Kv,
    replicas: Vec<Replica>,
}

impl Daemon {
    /// Starts a daemon and waits until it answers a request.
    pub async fn start(budget: Budget, behavior: Behavior) -> Self {
        let kv = Kv::start().await.expect("a store");
        kv.put(
            "op/config",
            &configuration_with(7, &["key-1"], &[ROUTE], &[("ledger", 90)]),
        );
        let mut replicas = Vec::new();
        for number in 0..REPLICAS {
            let replica = Replica::start(&format!("i-{number}"), behavior).await;
            let replica = replica.expect("a replica");
            let key = format!("servers/{}", replica.id);
            kv.put(&key, &registration(replica.address, "zone-1", "ready"));
            replicas.push(replica);
        }
        let (directory, peer) = (unused_address(), unused_address());
        let process = Process::start(
            kv.address,
            &[
                ("DIRECTORY_LISTEN", directory.to_string()),
                ("PEER_LISTEN", peer.to_string()),
                ("MEMORY_MB", budget.memory_mb.to_string()),
                ("MAX_FDS", budget.max_fds.to_string()),
            ],
        );
        let is_serving = process.serves_within("/safe/1", START_TIMEOUT).await;
        assert!(is_serving, "the daemon serves no request");
        Self {
            process,
            directory,
            peer,
            _kv: kv,
            replicas,
        }
    }

    pub const fn address(&self, address: Address) -> SocketAddr {
        match address {
            Address::Front => self.process.front,
            Address::Directory => self.directory,
            Address::Peer => self.peer,
        }
    }

    /// Sets what the replicas do with the next requests.
    pub fn plan(&self, behavior: Behavior) {
        for replica in &self.replicas {
            replica.plan(&[behavior; PLANNED]);
        }
    }

    pub fn is_alive(&mut self) -> bool {
        matches!(self.process.child.try_wait(), Ok(None))
    }

    /// The daemon's peak resident memory (`VmHWM`).
    pub fn peak_kib(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.process.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        number.expect("the daemon's peak memory")
    }

    /// Number of descriptors that the daemon has open.
    pub fn open_fds(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.process.child.id())).map_or(0, Iterator::count)
    }
}
