//! A daemon on the users' platform as a process of its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use standin::caller;
use tokio::time::{Instant, sleep};

/// Interval between checks whether the daemon serves.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running daemon. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    pub child: Child,
    /// Where it takes requests.
    pub front: SocketAddr,
}

impl Process {
    /// Starts a daemon that uses this store. Additional settings replace others of the same name.
    pub fn start(store: SocketAddr, settings: &[(&str, String)]) -> Self {
        let [front, directory, peer, ready, metrics] = std::array::from_fn(|_| unused_address());
        let common = [
            ("NAME", "node-1".to_owned()),
            ("ZONE", "zone-1".to_owned()),
            ("STORE", store.to_string()),
            ("CLOUD", store.to_string()),
            ("LISTEN", front.to_string()),
            ("DIRECTORY_LISTEN", directory.to_string()),
            ("PEER_LISTEN", peer.to_string()),
            ("READY_LISTEN", ready.to_string()),
            ("METRICS_LISTEN", metrics.to_string()),
        ];
        let all = common.iter().chain(settings);
        let child = Command::new(env!("CARGO_BIN_EXE_bilberrylatchd"))
            .arg("platform")
            .envs(all.map(|(name, value)| (format!("BILBERRYLATCH_{name}"), value)))
            .stdout(output())
            .stderr(output())
            .spawn()
            .expect("the daemon should start");
        Self { child, front }
    }

    /// Sends requests until one succeeds; returns whether one did before the timeout.
    pub async fn serves_within(&self, path: &str, timeout: Duration) -> bool {
        let start = Instant::now();
        let mut number = 0;
        loop {
            let response = caller::call(self.front, path, &format!("start-{number}")).await;
            if response.is_some_and(|it| it.status.is_success()) {
                return true;
            }
            if start.elapsed() >= timeout {
                return false;
            }
            number += 1;
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// An address that no other test binds: the IP is this process's own among the loopback addresses, and the port is
/// given out once.
pub fn unused_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 + high, middle, low);
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// Passes logs through only if `BILBERRYLATCH_TEST_LOGS` is set.
fn output() -> Stdio {
    if std::env::var_os("BILBERRYLATCH_TEST_LOGS").is_some() {
        Stdio::inherit()
    } else {
        Stdio::null()
    }
}
