//! Processes of the system, with the run command and the settings of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Figures of a machine and a deployment that the settings hold.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub cpu_share: f64,
}

/// A process of the system, which ends with this value.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
}

impl Node {
    /// Starts `target/release/bilberrylatchd platform` in the repository's root.
    pub fn start(folder: &Path, name: &str, store: SocketAddr, machine: Machine) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let (front, ready) = (free_address()?, free_address()?);
        let text = settings(name, store, machine, front, ready)?;
        let path = folder.join(format!("{name}.settings"));
        fs::write(&path, text).map_err(failed)?;
        let log = File::create(folder.join(format!("{name}.log"))).map_err(failed)?;
        let process = Command::new("target/release/bilberrylatchd")
            .arg("platform")
            .env_clear()
            .env("BILBERRYLATCH_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("target/release/bilberrylatchd: {error}"))?;
        Ok(Self { front, ready, process })
    }

    /// Bytes of memory that the process has in use; `None` once it has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kib * 1024)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Ends the process, as the platform does with one that exceeds its memory.
    pub fn kill(&mut self) {
        let _ended = self.process.kill();
        let _status = self.process.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The settings by `deploy/settings.template`, with the figures of the small deployments' sheets.
fn settings(
    name: &str,
    store: SocketAddr,
    machine: Machine,
    front: SocketAddr,
    ready: SocketAddr,
) -> Result<String, String> {
    let Machine {
        memory_mb,
        max_fds,
        cpu_share,
    } = machine;
    let lines = [
        ("NAME", name.to_owned()),
        ("ZONE", "zone-1".to_owned()),
        ("LISTEN", front.to_string()),
        ("READY_LISTEN", ready.to_string()),
        ("DIRECTORY_LISTEN", free_address()?.to_string()),
        ("PEER_LISTEN", free_address()?.to_string()),
        ("METRICS_LISTEN", free_address()?.to_string()),
        ("STORE", store.to_string()),
        ("CLOUD", store.to_string()),
        ("CPU_SHARE", cpu_share.to_string()),
        ("STORE_READS", "2000".to_owned()),
        ("STORE_WRITES", "400".to_owned()),
        ("LEASE_LEAST_MS", "1000".to_owned()),
        ("REPLICA_HEARTBEAT_MS", "1200".to_owned()),
        ("KEY_LIFE_MS", "5000".to_owned()),
        ("APPLY_MS", "2000".to_owned()),
        ("GRACE_S", "8".to_owned()),
        ("RETRY_RATIO", "0.2".to_owned()),
        ("RETRY_SLACK", "52".to_owned()),
        ("RETRY_WINDOW_S", "10".to_owned()),
        ("QUOTA_WINDOW_S", "8".to_owned()),
        ("QUOTA_OVERSHOOT", "0.1".to_owned()),
        ("QUOTA_SLACK", "190000".to_owned()),
        ("ROLE_LEASE_MS", "3000".to_owned()),
        ("USAGE_WINDOW_S", "5".to_owned()),
        ("USAGE_LATE_S", "10".to_owned()),
        ("CANARY_SHARE", "0.1".to_owned()),
        ("REGION", "region-1".to_owned()),
        ("ZONES", r#"{"zone-1":"region-1"}"#.to_owned()),
        ("MEMORY_MB", memory_mb.to_string()),
        ("MAX_FDS", max_fds.to_string()),
    ];
    let lines = lines.iter().map(|(name, value)| format!("BILBERRYLATCH_{name}={value}\n"));
    Ok(lines.collect())
}

/// A free port of a loopback address that only this run uses.
pub fn free_address() -> Result<SocketAddr, String> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, high.max(1), low, 1);
    let listener = TcpListener::bind(SocketAddr::new(IpAddr::V4(host), 0));
    let address = listener.and_then(|it| it.local_addr());
    address.map_err(|error| error.to_string())
}

/// A temporary folder, which is removed with this value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _gone = fs::remove_dir_all(&self.0);
    }
}
