//! Nodes: the program of the deploy file, as processes of their own.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, Ended};
use crate::store::Store;

/// The command of `deploy/system.toml`, from the repository's root.
const PROGRAM: &str = "target/release/bilberrylatchd";
const ARGUMENT: &str = "platform";

/// A node that can be killed and started again.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a node of a small deployment, and starts it.
    pub fn start(store: &Store, folder: &Path, name: &str, zone: &str) -> io::Result<Self> {
        let ports: Vec<SocketAddr> = free_ports(5)?;
        let store = store.address;
        // The names and figures of `deploy/settings.template` for the site tt-cymru.
        let text = format!(
            "BILBERRYLATCH_NAME={name}\nBILBERRYLATCH_ZONE={zone}\nBILBERRYLATCH_LISTEN={}\n\
             BILBERRYLATCH_READY_LISTEN={}\nBILBERRYLATCH_DIRECTORY_LISTEN={}\nBILBERRYLATCH_PEER_LISTEN={}\n\
             BILBERRYLATCH_METRICS_LISTEN={}\nBILBERRYLATCH_STORE={store}\nBILBERRYLATCH_CLOUD={store}\n\
             BILBERRYLATCH_CPU_SHARE=0.25\nBILBERRYLATCH_STORE_READS=2000\nBILBERRYLATCH_STORE_WRITES=400\n\
             BILBERRYLATCH_LEASE_LEAST_MS=1000\nBILBERRYLATCH_REPLICA_HEARTBEAT_MS=1200\n\
             BILBERRYLATCH_KEY_LIFE_MS=5000\nBILBERRYLATCH_APPLY_MS=2000\nBILBERRYLATCH_GRACE_S=8\n\
             BILBERRYLATCH_RETRY_RATIO=0.2\nBILBERRYLATCH_RETRY_SLACK=52\nBILBERRYLATCH_RETRY_WINDOW_S=10\n\
             BILBERRYLATCH_QUOTA_WINDOW_S=8\nBILBERRYLATCH_QUOTA_OVERSHOOT=0.1\nBILBERRYLATCH_QUOTA_SLACK=190000\n\
             BILBERRYLATCH_ROLE_LEASE_MS=3000\nBILBERRYLATCH_USAGE_WINDOW_S=5\nBILBERRYLATCH_USAGE_LATE_S=10\n\
             BILBERRYLATCH_CANARY_SHARE=0.1\nBILBERRYLATCH_REGION=cymru\nBILBERRYLATCH_ZONES={}\n\
             BILBERRYLATCH_MEMORY_MB=260\nBILBERRYLATCH_MAX_FDS=4100\nBILBERRYLATCH_COLD_OVERSHOOT=\n\
             BILBERRYLATCH_COLD_SLACK=\nBILBERRYLATCH_EVACUATE_MS=\n",
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[4],
            r#"{"cymru-a":"cymru","cymru-b":"cymru","cymru-c":"cymru","cymru-d":"cymru"}"#,
        );
        let settings = folder.join(format!("{name}.settings"));
        fs::write(&settings, text)?;
        let mut node = Self {
            name: name.to_owned(),
            front: ports[0],
            ready: ports[1],
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        node.restart()?;
        Ok(node)
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .envs(
                ["PATH", "HOME", "LANG"]
                    .iter()
                    .filter_map(|name| Some((name, std::env::var_os(name)?))),
            )
            .env("BILBERRYLATCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill {}", self.id()))
            .status();
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Memory that the process takes.
    pub fn resident_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|it| it.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1_000
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /bilberrylatch/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        matches!(call(self.ready, request, Duration::from_secs(1)), Ended::Answered(it) if it.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ports for nodes: below those that outgoing connections get, which could take the port of a node that is down.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 30_000;

/// Loopback addresses whose ports are free for connections and datagrams.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.subsec_nanos());
    let span = LAST_PORT - FIRST_PORT;
    let mut port = FIRST_PORT + ((nanos / 1_000 + std::process::id() * 97) % u32::from(span)) as u16;
    let mut held = Vec::new();
    for _attempt in 0..span {
        port = if port >= LAST_PORT { FIRST_PORT } else { port + 1 };
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if let (Ok(listener), Ok(socket)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            held.push((address, listener, socket));
        }
        if held.len() == count {
            return Ok(held.into_iter().map(|(address, _, _)| address).collect());
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
