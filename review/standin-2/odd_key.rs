//! Another writer leaves one odd entry among those of the replicas, and the nodes start again.

use std::thread;
use std::time::{Duration, Instant};

use crate::http::{call, Ended};
use crate::node::Node;
use crate::replica::{Kind, Replica};
use crate::store::Store;
use crate::{Setting, Verdict};

const ZONES: [&str; 4] = ["cymru-a", "cymru-b", "cymru-c", "cymru-d"];
/// `recovery-s` of the site tt-cymru.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the nodes are down, as `down_s` of that site's final faults.
const DOWN: Duration = Duration::from_millis(1_300);
const PHASE: Duration = Duration::from_secs(8);
const INTERVAL: Duration = Duration::from_millis(50);
/// Size of the odd value, below `value-bytes` of that site.
const ODD_BYTES: usize = 1_000_000;
const KEY: &str = "k3y7hh2b9wu3fexd9dn";

pub fn run(setting: &Setting) -> Verdict {
    attempt(setting).unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}

fn attempt(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start(record)?;
    store.put("op/config", CONFIGURATION.as_bytes());
    let mut replicas = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let kind = Kind {
            id: format!("i-{index}f3a91c2"),
            service: "cyfrif",
            zone,
            version: "v1",
            fails_one_in: 0,
            crashes_on: None,
        };
        replicas.push(Replica::start(&store, record, kind)?);
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
    if setting.has_trouble {
        // Very deeply nested, and bytes that can't be read as an entry.
        store.put("servers/batch 7", "[".repeat(ODD_BYTES).as_bytes());
        record.tell("another writer: an odd entry at \"servers/batch 7\"");
    }
    let before = ask(setting, &nodes, "before");
    for node in &mut nodes {
        record.line(&format!("{} (process {}) is killed", node.name, node.id()));
        node.kill();
    }
    record.tell("all nodes are killed");
    thread::sleep(DOWN);
    for node in &mut nodes {
        node.restart()?;
    }
    record.tell("all nodes are started again");
    thread::sleep(RECOVERY);
    for node in &mut nodes {
        let is_running = node.is_running();
        record.tell(&format!(
            "{}: runs {is_running}, ready {}",
            node.name,
            node.is_ready()
        ));
    }
    let after = ask(setting, &nodes, "after");
    record.tell(&format!(
        "share served before the fault {before:.2}, later than {RECOVERY:?} after it {after:.2}"
    ));
    if before < 0.25 {
        return Ok(Verdict::NotRun(
            "less than a quarter was served before the fault".to_owned(),
        ));
    }
    Ok(if after < 0.25 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// The share of the requests of a phase that are answered with the seal of a replica.
fn ask(setting: &Setting, nodes: &[Node], phase: &str) -> f64 {
    let record = &setting.record;
    let ends = Instant::now() + PHASE;
    let (mut asked, mut served) = (0, 0);
    while Instant::now() < ends {
        let node = &nodes[asked % nodes.len()];
        let id = format!("{phase}-{asked}");
        let request = format!(
            "GET /cuti104/lo20/ HTTP/1.1\r\nHost: wuny96.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 600\r\n\
             Credential: {KEY}\r\nConnection: close\r\n\r\n"
        );
        record.line(&format!("client: {id} to {}", node.name));
        let ended = call(node.front, request.as_bytes(), Duration::from_millis(600));
        asked += 1;
        match ended {
            Ended::Answered(answer) => {
                let is_served = answer.status() == 200 && answer.header("response-seal").is_some();
                served += usize::from(is_served);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                record.line(&format!("client: {id} gets {}: {body}", answer.status()));
            }
            Ended::Broken(cause) => record.line(&format!("client: {id} gets no answer: {cause}")),
        }
        thread::sleep(INTERVAL);
    }
    served as f64 / asked.max(1) as f64
}

const CONFIGURATION: &str = r#"{
  "version": 3,
  "routes": [
    {"name": "balance-look", "host": "wuny96.example", "path-prefix": "/cuti104/lo20/", "kind": "safe",
     "service": "cyfrif", "timeout-ms": 600, "target-latency-ms": 100, "max-attempts": 2, "priority": 2}
  ],
  "services": [{"name": "cyfrif", "health-path": "/health", "max-connections": 96}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
  "tenants": [{"name": "hule930", "api-keys": ["k3y7hh2b9wu3fexd9dn"]}]
}"#;
