//! A drill of the store after a key was taken away, beside the restart of a node.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, Ended};
use crate::node::Node;
use crate::record::Record;
use crate::replica::{Kind, Replica};
use crate::store::Store;
use crate::{Setting, Verdict};

const ZONES: [&str; 4] = ["cymru-a", "cymru-b", "cymru-c", "cymru-d"];
/// `revoke-ms` of the site tt-cymru.
const REVOKE: Duration = Duration::from_millis(5_000);
/// From the copy of the store to the configuration that takes the key away.
const COPY_BEFORE: Duration = Duration::from_millis(800);
/// From that configuration to the drill, and how long the store is away.
const DRILL_AFTER: Duration = Duration::from_millis(4_000);
const AWAY: Duration = Duration::from_millis(300);
/// How long a node is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// From the return of the store until the operator has written again what was lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_800);
const WATCH: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(40);
/// Zones and numbers of the nodes, as at the site. The last one is killed.
const NODES: [(&str, u32); 6] = [
    ("cymru-a", 1),
    ("cymru-a", 2),
    ("cymru-b", 1),
    ("cymru-b", 2),
    ("cymru-c", 1),
    ("cymru-d", 1),
];
const REVOKED: &str = "k3y7hh2b9wu3fexd9dn";

pub fn run(setting: &Setting) -> Verdict {
    attempt(setting).unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}

fn attempt(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start(record)?;
    store.put(
        "op/config",
        configuration(3, &[REVOKED, "n2ctnfzs989anu6wsjnb"]).as_bytes(),
    );
    let mut replicas = Vec::new();
    for zone in ZONES {
        let kind = Kind {
            id: format!("i-{zone}"),
            service: "cyfrif",
            zone,
            version: "v1",
            fails_one_in: 0,
            crashes_on: None,
        };
        replicas.push(Replica::start(&store, record, kind)?);
    }
    let mut nodes = Vec::new();
    for (zone, number) in NODES {
        let name = format!("front-{zone}-{number}");
        let node = Node::start(&store, &setting.folder, &name, zone)?;
        if !node.wait_until_ready(Duration::from_secs(10)) {
            return Ok(Verdict::NotRun(format!("{} is not ready", node.name)));
        }
        nodes.push(node);
    }
    let clients = Clients::start(record, &nodes);
    thread::sleep(Duration::from_secs(3));
    let copy = store.copy();
    let copied = Instant::now();
    thread::sleep(COPY_BEFORE);
    store.put(
        "op/config",
        configuration(4, &["n2ctnfzs989anu6wsjnb"]).as_bytes(),
    );
    let taken = Instant::now();
    record.tell("operator: version 4 takes the key away, acknowledged");
    thread::sleep(DRILL_AFTER);
    if setting.has_trouble {
        store.leave();
        nodes[5].kill();
        record.tell(&format!("the store is away, and {} is killed", nodes[5].name));
        thread::sleep(AWAY);
        store.restore(&copy);
        let back = Instant::now();
        record.tell(&format!(
            "the store is back, from a copy {:?} old",
            copied.elapsed()
        ));
        thread::sleep(DOWN.saturating_sub(AWAY));
        nodes[5].restart()?;
        record.tell(&format!("{} is started again", nodes[5].name));
        thread::sleep(WRITTEN_AGAIN.saturating_sub(back.elapsed()));
        store.put(
            "op/config",
            configuration(4, &["n2ctnfzs989anu6wsjnb"]).as_bytes(),
        );
        record.tell("operator: version 4 is written again");
    }
    thread::sleep(WATCH);
    let sent = clients.stop();
    let late = sent
        .iter()
        .filter(|(_, at)| at.saturating_duration_since(taken) > REVOKE);
    let late: Vec<&String> = late.map(|(id, _)| id).collect();
    let ran: Vec<String> = replicas.iter().flat_map(Replica::ids).collect();
    let broken = late.iter().filter(|id| ran.contains(id)).count();
    let after = sent
        .iter()
        .filter(|(id, at)| *at > taken && ran.contains(id))
        .count();
    record.tell(&format!(
        "requests with the key: {} sent later than {REVOKE:?} after the acknowledgement, {broken} of them ran; \
         {after} ran of all that were sent after it",
        late.len()
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Clients that send requests with the key, one to each node.
struct Clients {
    is_over: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<(String, Instant)>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(record: &Record, nodes: &[Node]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
        let number = Arc::new(AtomicU64::new(0));
        let client = |node: &Node| {
            let (front, name, record) = (node.front, node.name.clone(), record.clone());
            let (is_over, sent, number) = (Arc::clone(&is_over), Arc::clone(&sent), Arc::clone(&number));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("a{}", number.fetch_add(1, Ordering::Relaxed));
                    let request = format!(
                        "POST /puxa403/2f/ HTTP/1.1\r\nHost: wuny96.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 600\r\n\
                         Credential: {REVOKED}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
                    );
                    sent.lock().unwrap().push((id.clone(), Instant::now()));
                    let ended = match call(front, request.as_bytes(), Duration::from_millis(800)) {
                        Ended::Answered(answer) => answer.status().to_string(),
                        Ended::Broken(cause) => cause,
                    };
                    record.line(&format!("client: {id} to {name} gets {ended}"));
                    thread::sleep(PAUSE);
                }
            })
        };
        let threads = nodes.iter().map(client).collect();
        Self {
            is_over,
            sent,
            threads,
        }
    }

    fn stop(self) -> Vec<(String, Instant)> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

fn configuration(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{
  "version": {version},
  "routes": [
    {{"name": "topup-charge", "host": "wuny96.example", "path-prefix": "/puxa403/", "kind": "unsafe",
     "service": "cyfrif", "timeout-ms": 600, "target-latency-ms": 100, "max-attempts": 1, "priority": 2}}
  ],
  "services": [{{"name": "cyfrif", "health-path": "/health", "max-connections": 96}}],
  "limits": {{"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}},
  "tenants": [{{"name": "hule930", "api-keys": [{}]}}]
}}"#,
        keys.join(", ")
    )
}
