//! The nodes: processes of the program that the deploy file names, with settings from its template.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Option by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// First port of a node, on its own loopback address.
const FIRST_PORT: u16 = 9_210;

/// What the settings of all nodes have in common.
#[derive(Clone, Debug)]
pub struct Fields(pub BTreeMap<String, String>);

impl Fields {
    /// The bounds of the small sites.
    pub fn new(store: SocketAddr, cloud: SocketAddr) -> Self {
        let list = [
            ("limits.cpu-share", "0.25"),
            ("platform.reads-per-s", "2000"),
            ("platform.writes-per-s", "400"),
            ("platform.ttl-min-ms", "1000"),
            ("heartbeat-ms", "1200"),
            ("bounds.revoke-ms", "5000"),
            ("bounds.config-apply-ms", "2000"),
            ("bounds.grace-s", "8"),
            ("bounds.retry-budget-ratio", "0.2"),
            ("bounds.retry-budget-slack", "52"),
            ("bounds.budget-window-s", "10"),
            ("bounds.quota-window-s", "8"),
            ("bounds.quota-overshoot", "0.1"),
            ("bounds.quota-slack", "190000"),
            ("bounds.lease-ms", "3000"),
            ("bounds.usage-window-s", "5"),
            ("bounds.usage-late-s", "10"),
            ("bounds.canary-share", "0.1"),
        ];
        let mut fields: BTreeMap<String, String> =
            list.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
        fields.insert("platform.address".to_owned(), store.to_string());
        fields.insert("cloud.address".to_owned(), cloud.to_string());
        Self(fields)
    }

    fn render(&self, template: &str) -> Option<String> {
        let mut shown = String::new();
        let mut rest = template;
        while let Some((before, after)) = rest.split_once("{{") {
            let (name, after) = after.split_once("}}")?;
            shown.push_str(before);
            shown.push_str(self.0.get(name)?);
            rest = after;
        }
        shown.push_str(rest);
        Some(shown)
    }
}

/// A node that can be restarted with the same addresses.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings of a node. `fields` are those that all nodes have in common.
    pub fn new(root: &Path, folder: &Path, fields: &Fields, name: &str, zone: &str, ip: Ipv4Addr) -> io::Result<Self> {
        let address = |offset: u16| SocketAddr::from((ip, FIRST_PORT + offset));
        let mut fields = fields.clone();
        let own = [
            ("node-name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("listen.front", address(1).to_string()),
            ("listen.ready", address(4).to_string()),
            ("listen.directory", address(0).to_string()),
            ("internal-ports.0", (FIRST_PORT + 10).to_string()),
            ("internal-ports.1", (FIRST_PORT + 25).to_string()),
        ];
        fields.0.extend(own.into_iter().map(|(name, value)| (name.to_owned(), value)));
        let template = fs::read_to_string(root.join("deploy/settings.template"))?;
        let text = fields.render(&template).ok_or_else(|| io::Error::other("unknown field in the template"))?;
        let settings = folder.join(format!("{name}.settings"));
        fs::write(&settings, text)?;
        Ok(Self {
            front: address(1),
            ready: address(4),
            settings,
            log: folder.join(format!("{name}.log")),
            program: root.join("target/release/bilberrylatchd"),
            root: root.to_owned(),
            child: None,
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        // SAFETY: the call takes two numbers and allocates nothing.
        unsafe {
            // The node must not outlive the case, however that ends.
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .arg("platform")
            .current_dir(&self.root)
            .env_clear()
            .env("BILBERRYLATCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _status = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut connection) = Connection::connect(self.ready, limit) else { return false };
        let _ignored = connection.stream.set_read_timeout(Some(limit));
        let request = "GET /bilberrylatch/readiness HTTP/1.1\r\nHost: node\r\n\r\n";
        connection.write(request.as_bytes()).is_ok()
            && matches!(connection.read(), Ok(Some(answer)) if answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes are ready.
pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let ends = Instant::now() + limit;
    while Instant::now() < ends {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A loopback network on which the nodes' ports are free.
pub fn free_network() -> Option<[u8; 3]> {
    let start = std::process::id();
    for step in 0..200 {
        let number = start.wrapping_add(step * 7);
        let network = [127, 64 + (number >> 8 & 63) as u8, (number & 255) as u8];
        let is_free = |offset: u16| {
            let address = SocketAddr::new(IpAddr::from([network[0], network[1], network[2], 1]), FIRST_PORT + offset);
            TcpStream::connect_timeout(&address, Duration::from_millis(50)).is_err()
                && TcpListener::bind(address).is_ok()
                && UdpSocket::bind(address).is_ok()
        };
        if [0, 1, 4, 10, 25].into_iter().all(is_free) {
            return Some(network);
        }
    }
    None
}
