//! A drill of the store shortly after a usage report, and after a node was taken away in a planned way.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, Ended};
use crate::node::Node;
use crate::record::Record;
use crate::replica::{Kind, Replica};
use crate::store::Store;
use crate::{Setting, Verdict};

const ZONES: [&str; 4] = ["cymru-a", "cymru-b", "cymru-c", "cymru-d"];
/// `usage-window-s` of the site tt-cymru.
const WINDOW_MS: u64 = 5_000;
/// Windows that are reported before the drill.
const WINDOWS_BEFORE: u64 = 10;
/// When the copy is made and a node is stopped, before the end of the last of these windows.
const COPY_BEFORE: Duration = Duration::from_millis(2_000);
const STOP_BEFORE: Duration = Duration::from_millis(1_000);
/// When the callers have new addresses, after the signal.
const NEW_ADDRESSES: Duration = Duration::from_millis(1_200);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(300);
/// How long the duties are watched after the drill.
const WATCH: Duration = Duration::from_secs(14);
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(setting: &Setting) -> Verdict {
    attempt(setting).unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}

fn attempt(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start(record)?;
    store.put("op/config", CONFIGURATION.as_bytes());
    for zone in ZONES {
        let kind = Kind {
            id: format!("i-{zone}"),
            service: "cyfrif",
            zone,
            version: "v1",
            fails_one_in: 0,
            crashes_on: None,
        };
        Replica::start(&store, record, kind)?;
    }
    let mut nodes = Vec::new();
    for zone in &ZONES[..2] {
        let node = Node::start(&store, &setting.folder, &format!("front-{zone}-1"), zone)?;
        if !node.wait_until_ready(Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", node.name)));
        }
        nodes.push(node);
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let clients = Clients::start(record, &fronts);
    let last = unix_ms() / WINDOW_MS + WINDOWS_BEFORE;
    let ends = (last + 1) * WINDOW_MS;
    wait_until(ends - COPY_BEFORE.as_millis() as u64);
    let copy = store.copy();
    let copied = Instant::now();
    record.tell(&format!(
        "a copy of the store is made; window {last} ends in {COPY_BEFORE:?}"
    ));
    wait_until(ends - STOP_BEFORE.as_millis() as u64);
    let holder = store.holder();
    let Some(stopped) = nodes.iter_mut().find(|node| node.name != holder) else {
        return Ok(Verdict::NotRun("no node but the holder of the duties".to_owned()));
    };
    record.tell(&format!(
        "{holder} performs the duties; {} gets SIGTERM, and is taken away",
        stopped.name
    ));
    stopped.terminate();
    let front = stopped.front;
    thread::sleep(NEW_ADDRESSES);
    clients.avoid(fronts.iter().position(|it| *it == front).unwrap_or(0));
    let limit = Instant::now() + Duration::from_secs(8);
    while (store.usage().get(&last).is_none() || stopped.is_running()) && Instant::now() < limit {
        thread::sleep(Duration::from_millis(20));
    }
    let is_stopped = !stopped.is_running();
    if store.usage().get(&last).is_none() || !is_stopped {
        return Ok(Verdict::NotRun(format!(
            "window {last} not reported, or the node not stopped"
        )));
    }
    record.tell(&format!(
        "window {last} is reported: {:?}",
        store.usage().get(&last)
    ));
    if setting.has_trouble {
        store.leave();
        thread::sleep(AWAY);
        store.restore(&copy);
        store.put("op/config", CONFIGURATION.as_bytes());
        record.tell(&format!(
            "the store is back after {AWAY:?}, from the copy, which is {:?} old",
            copied.elapsed()
        ));
    }
    thread::sleep(WATCH);
    clients.stop();
    let mut is_broken = false;
    for (window, accepted) in store.usage() {
        record.tell(&format!("window {window}: {accepted:?}"));
        is_broken |= accepted.len() > 1;
    }
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

fn wait_until(at_ms: u64) {
    thread::sleep(Duration::from_millis(at_ms.saturating_sub(unix_ms())));
}

/// Clients, each of which sends to one node until it has new addresses.
struct Clients {
    is_over: Arc<AtomicBool>,
    /// Index of the node that is no longer used.
    avoided: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(record: &Record, fronts: &[SocketAddr]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let avoided = Arc::new(AtomicUsize::new(usize::MAX));
        let number = Arc::new(AtomicU64::new(0));
        let client = |index: usize| {
            let avoided = Arc::clone(&avoided);
            let (is_over, number, record) = (Arc::clone(&is_over), Arc::clone(&number), record.clone());
            let fronts = fronts.to_vec();
            thread::spawn(move || {
                let mut front = index % fronts.len();
                while !is_over.load(Ordering::Relaxed) {
                    if front == avoided.load(Ordering::Relaxed) {
                        front = (front + 1) % fronts.len();
                    }
                    let id = format!("a{}", number.fetch_add(1, Ordering::Relaxed));
                    let request = format!(
                        "GET /cuti104/lo20/ HTTP/1.1\r\nHost: wuny96.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 600\r\n\
                         Credential: k3y7hh2b9wu3fexd9dn\r\nConnection: close\r\n\r\n"
                    );
                    match call(fronts[front], request.as_bytes(), Duration::from_millis(800)) {
                        Ended::Answered(answer) => {
                            record.line(&format!("client: {id} gets {}", answer.status()))
                        }
                        Ended::Broken(cause) => record.line(&format!("client: {id} gets no answer: {cause}")),
                    }
                    thread::sleep(PAUSE);
                }
            })
        };
        let threads = (0..CLIENTS).map(client).collect();
        Self {
            is_over,
            avoided,
            threads,
        }
    }

    /// Has the clients use other nodes.
    fn avoid(&self, index: usize) {
        self.avoided.store(index, Ordering::Relaxed);
    }

    fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

const CONFIGURATION: &str = r#"{
  "version": 3,
  "routes": [
    {"name": "balance-look", "host": "wuny96.example", "path-prefix": "/cuti104/lo20/", "kind": "safe",
     "service": "cyfrif", "timeout-ms": 600, "target-latency-ms": 100, "max-attempts": 2, "priority": 2}
  ],
  "services": [{"name": "cyfrif", "health-path": "/health", "max-connections": 96}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
  "tenants": [{"name": "hule930", "api-keys": ["k3y7hh2b9wu3fexd9dn"]}]
}"#;
