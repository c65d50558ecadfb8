//! Requests that crash the replicas that run them, one after the other, beside sound ones.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, Ended};
use crate::node::Node;
use crate::record::Record;
use crate::replica::{Kind, Replica};
use crate::store::Store;
use crate::{Setting, Verdict};

const ZONES: [&str; 4] = ["cymru-a", "cymru-b", "cymru-c", "cymru-d"];
/// Replicas of the service, as many as `ysgrifydd` has at the site tt-cymru.
const REPLICAS: usize = 12;
/// Number of different requests that crash replicas, and the time between two of their client attempts.
const DEADLY: usize = 72;
const DEADLY_INTERVAL: Duration = Duration::from_millis(350);
/// A request that crashes replicas comes again until it is refused, and at most so often.
const MAX_ATTEMPTS: usize = 12;
/// Requests of other callers: clients, and the pause between two requests of one.
const CLIENTS: usize = 15;
const PAUSE: Duration = Duration::from_millis(85);
/// `timeout-ms` of the route, and the time after it by which there is an answer.
const TIMEOUT: Duration = Duration::from_millis(600);
const ANSWERED_BY: Duration = Duration::from_millis(1_100);
/// How long the nodes are watched at the end.
const WATCH: Duration = Duration::from_secs(6);
/// How long such requests come at a time, and the pause after it.
const STRETCH: Duration = Duration::from_secs(20);
const BREAK: Duration = Duration::from_secs(1);
/// When the requests that crash replicas cease at the latest.
const LONGEST: Duration = Duration::from_secs(96);
/// Body of the requests that crash replicas.
const MARK: &[u8] = b"deadly";

pub fn run(setting: &Setting) -> Verdict {
    attempt(setting).unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}

fn attempt(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start(record)?;
    store.put("op/config", CONFIGURATION.as_bytes());
    for index in 0..REPLICAS {
        let kind = Kind {
            id: format!("i-{index:02}c3a9"),
            service: "cyfrif",
            zone: ZONES[index % ZONES.len()],
            version: "v1",
            fails_one_in: 0,
            crashes_on: setting.has_trouble.then_some(MARK),
        };
        Replica::start(&store, record, kind)?;
    }
    let mut nodes = Vec::new();
    for zone in &ZONES[..2] {
        nodes.push(Node::start(
            &store,
            &setting.folder,
            &format!("front-{zone}-1"),
            zone,
        )?);
    }
    for node in &nodes {
        if !node.wait_until_ready(Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", node.name)));
        }
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let clients = Clients::start(record, &fronts);
    thread::sleep(Duration::from_secs(5));
    let sent = send_deadly(record, &nodes);
    record.tell(&format!("{sent} client attempts of requests that crash replicas"));
    let answered = clients.late();
    let begun = Instant::now();
    while begun.elapsed() < WATCH {
        for node in &mut nodes {
            let is_running = node.is_running();
            record.tell(&format!(
                "{}: runs {is_running}, ready {}, {} MB",
                node.name,
                node.is_ready(),
                node.resident_mb()
            ));
        }
        thread::sleep(Duration::from_secs(1));
    }
    let (late, unanswered) = clients.stop();
    record.tell(&format!(
        "sound requests without an answer at {TIMEOUT:?}: {late}, of these without one at {ANSWERED_BY:?}: {unanswered} \
         (before the last {WATCH:?}: {answered:?})"
    ));
    let is_broken = unanswered * 2 > late && unanswered >= 10;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends each of the requests that crash replicas until it is refused. Returns the number of client attempts.
fn send_deadly(record: &Record, nodes: &[Node]) -> usize {
    let begun = Instant::now();
    let mut stretch = begun;
    let mut attempts = 0;
    for number in 0..DEADLY {
        for attempt in 0..MAX_ATTEMPTS {
            if begun.elapsed() > LONGEST || nodes.iter().any(|node| !node.is_ready()) {
                record.tell(&format!(
                    "after {number} requests that crash replicas, a node is not ready, or the time is over"
                ));
                return attempts;
            }
            if stretch.elapsed() + DEADLY_INTERVAL >= STRETCH {
                record.tell(&format!("{attempts} client attempts so far, pause"));
                thread::sleep(BREAK);
                stretch = Instant::now();
            }
            // The callers of these requests are all in one zone, and use its node.
            let node = &nodes[0];
            let id = format!("deadly-{number}-{attempt}");
            let body = format!("deadly {number:04}");
            record.line(&format!("client: {id} to {}", node.name));
            let ended = call(node.front, &request(&id, &body), ANSWERED_BY);
            attempts += 1;
            record.line(&format!("client: {id} gets {}", describe(&ended)));
            let Ended::Answered(answer) = ended else { continue };
            let is_refused = String::from_utf8_lossy(&answer.body).contains("poison");
            if is_refused {
                break;
            }
            thread::sleep(DEADLY_INTERVAL);
            if answer.status() == 200 {
                break;
            }
        }
    }
    attempts
}

fn request(id: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /puxa403/2f/ HTTP/1.1\r\nHost: wuny96.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 600\r\n\
         Credential: k3y7hh2b9wu3fexd9dn\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn describe(ended: &Ended) -> String {
    match ended {
        Ended::Answered(answer) => format!("{}: {}", answer.status(), String::from_utf8_lossy(&answer.body)),
        Ended::Broken(cause) => format!("no answer: {cause}"),
    }
}

/// Clients of sound requests.
struct Clients {
    is_over: Arc<AtomicBool>,
    /// Requests without an answer at the route's timeout, and those of them without one half a second later.
    late: Arc<AtomicU64>,
    unanswered: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(record: &Record, fronts: &[SocketAddr]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (late, unanswered, number) = (Arc::default(), Arc::default(), Arc::new(AtomicU64::new(0)));
        let client = |index: usize| {
            let front = fronts[index % fronts.len()];
            let (is_over, number, record) = (Arc::clone(&is_over), Arc::clone(&number), record.clone());
            let (late, unanswered): (Arc<AtomicU64>, Arc<AtomicU64>) =
                (Arc::clone(&late), Arc::clone(&unanswered));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let id = format!("sound-{number}");
                    let begun = Instant::now();
                    let ended = call(
                        front,
                        &request(&id, &format!("sound {}", number % 40)),
                        ANSWERED_BY,
                    );
                    let took = begun.elapsed();
                    record.line(&format!(
                        "client: {id} to {front} gets {} after {} ms",
                        describe(&ended),
                        took.as_millis()
                    ));
                    late.fetch_add(u64::from(took > TIMEOUT), Ordering::Relaxed);
                    unanswered.fetch_add(u64::from(took >= ANSWERED_BY), Ordering::Relaxed);
                    thread::sleep(PAUSE);
                }
            })
        };
        let threads = (0..CLIENTS).map(client).collect();
        Self {
            is_over,
            late: late.clone(),
            unanswered: unanswered.clone(),
            threads,
        }
    }

    fn late(&self) -> (u64, u64) {
        (
            self.late.load(Ordering::Relaxed),
            self.unanswered.load(Ordering::Relaxed),
        )
    }

    fn stop(self) -> (u64, u64) {
        let counted = self.late();
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        counted
    }
}

const CONFIGURATION: &str = r#"{
  "version": 3,
  "routes": [
    {"name": "topup-charge", "host": "wuny96.example", "path-prefix": "/puxa403/", "kind": "unsafe",
     "service": "cyfrif", "timeout-ms": 600, "target-latency-ms": 100, "max-attempts": 1, "priority": 2}
  ],
  "services": [{"name": "cyfrif", "health-path": "/health", "max-connections": 96}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
  "tenants": [{"name": "hule930", "api-keys": ["k3y7hh2b9wu3fexd9dn"]}]
}"#;
