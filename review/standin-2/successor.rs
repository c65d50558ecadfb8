//! A bad version is rolled back, and the operator orders its successor.

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
/// `complete-by-s` of the orders.
const COMPLETE_BY: Duration = Duration::from_secs(12);
/// From `rolled_back` to the next order, and until the new replicas drain ("some seconds later").
const NEXT_ORDER: Duration = Duration::from_secs(1);
const DRAIN: Duration = Duration::from_secs(6);
/// From an order to the start of its replicas.
const START: Duration = Duration::from_millis(500);
/// `canary-share` and `canary-slack` of the site tt-cymru.
const CANARY_SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
/// Clients, and the pause between two requests of one.
const CLIENTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(60);

pub fn run(setting: &Setting) -> Verdict {
    attempt(setting).unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}

fn attempt(setting: &Setting) -> std::io::Result<Verdict> {
    let record = &setting.record;
    let store = Store::start(record)?;
    store.put("op/config", CONFIGURATION.as_bytes());
    let start = |version: &'static str, fails_one_in| -> std::io::Result<Vec<Replica>> {
        let kind = |zone: &'static str| Kind {
            id: format!("i-{version}-{zone}"),
            service: "cyfrif",
            zone,
            version,
            fails_one_in,
            crashes_on: None,
        };
        ZONES
            .iter()
            .map(|zone| Replica::start(&store, record, kind(zone)))
            .collect()
    };
    let first = start("v1", 0)?;
    let mut nodes = Vec::new();
    for zone in &ZONES[..3] {
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
    let clients = Clients::start(record, &nodes);
    thread::sleep(Duration::from_secs(3));
    let before = total(&first);
    let ordered = Instant::now();
    order(&store, record, "v2");
    thread::sleep(START);
    // One in five of the answers of the bad version is a failure.
    let bad = start("v2", 5)?;
    let mut told = None;
    let mut successors: Vec<Replica> = Vec::new();
    let mut at_next_order = 0;
    let mut is_draining = false;
    while ordered.elapsed() < COMPLETE_BY {
        let is_undone = store
            .text("status/rollout/cyfrif")
            .is_some_and(|it| it.contains("rolled_back"));
        if is_undone && told.is_none() {
            told = Some(Instant::now());
            record.tell(&format!(
                "{:.1} s after the order: rolled_back, v2 has run {}",
                ordered.elapsed().as_secs_f64(),
                total(&bad)
            ));
        }
        let since = told.map_or(Duration::ZERO, |at| at.elapsed());
        if setting.has_trouble && successors.is_empty() && since >= NEXT_ORDER {
            at_next_order = total(&bad);
            order(&store, record, "v3");
            thread::sleep(START);
            successors = start("v3", 0)?;
        }
        if !is_draining && since >= DRAIN {
            is_draining = true;
            bad.iter().for_each(|replica| replica.drain(&store));
            record.tell(&format!("v2 drains, and has run {}", total(&bad)));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let (bad, others) = (total(&bad), total(&first) - before + total(&successors));
    clients.stop();
    let all = (bad + others) as f64;
    let limit = CANARY_SHARE.mul_add(all, CANARY_SLACK);
    record.tell(&format!(
        "from the order of v2 to its deadline: {all} requests reached the service, {bad} of them v2 ({} since the order of v3); allowed {limit:.0}",
        bad - at_next_order
    ));
    if told.is_none() {
        return Ok(Verdict::NotRun("v2 was not rolled back".to_owned()));
    }
    Ok(if bad as f64 > limit {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn order(store: &Store, record: &Record, version: &str) {
    let seconds = COMPLETE_BY.as_secs();
    let value = format!("{{\"service\":\"cyfrif\",\"target\":\"{version}\",\"complete-by-s\":{seconds}}}");
    store.put("op/rollout/cyfrif", value.as_bytes());
    record.tell(&format!("operator: orders {version}"));
}

fn total(replicas: &[Replica]) -> u64 {
    replicas.iter().map(Replica::runs).sum()
}

/// Clients that send requests of a route of the kind `unsafe`.
struct Clients {
    is_over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(record: &Record, nodes: &[Node]) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicU64::new(0));
        let fronts: Vec<_> = nodes.iter().map(|node| (node.front, node.name.clone())).collect();
        let client = |index: usize| {
            let (is_over, number, record) = (Arc::clone(&is_over), Arc::clone(&number), record.clone());
            let (front, name) = fronts[index % fronts.len()].clone();
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("a{}", number.fetch_add(1, Ordering::Relaxed));
                    let request = format!(
                        "POST /puxa403/2f/ HTTP/1.1\r\nHost: wuny96.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 600\r\n\
                         Credential: k3y7hh2b9wu3fexd9dn\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
                    );
                    record.line(&format!("client: {id} to {name}"));
                    match call(front, request.as_bytes(), Duration::from_millis(800)) {
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
        Self { is_over, threads }
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
    {"name": "topup-charge", "host": "wuny96.example", "path-prefix": "/puxa403/", "kind": "unsafe",
     "service": "cyfrif", "timeout-ms": 600, "target-latency-ms": 100, "max-attempts": 1, "priority": 2}
  ],
  "services": [{"name": "cyfrif", "health-path": "/health", "max-connections": 96}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
  "tenants": [{"name": "hule930", "api-keys": ["k3y7hh2b9wu3fexd9dn"]}]
}"#;
