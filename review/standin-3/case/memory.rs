//! A node that refuses many requests until it exceeds its memory.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Connection};
use crate::node::{Folder, Machine, Node};
use crate::record::Record;
use crate::replica::{Replica, Runs};
use crate::store::{self, Store};

/// The smallest machine of the deployments in force.
const MACHINE: Machine = Machine {
    memory_mb: 120,
    max_fds: 3_075,
    cpu_share: 0.09,
};
const MEGABYTE: u64 = 1_000_000;
/// Clients that wait for each answer, and those that repeat at once: less than three in ten.
const ORDINARY: usize = 10;
const IMPATIENT: usize = 4;
/// How often an impatient client repeats a request that was refused.
const REPEATS: u32 = 3;
/// Requests that an impatient client sends without waiting in between.
const BATCH: u32 = 25;
/// Time that a request takes at a replica, and what impatient clients have left for it.
const WORK: Duration = Duration::from_millis(300);
const DEADLINE_MS: u32 = 3_000;
const SHORT_DEADLINE_MS: u32 = 100;
/// Longest time under load, and that without the disruption.
const LOAD_TIME: Duration = Duration::from_secs(100);
const CALM_TIME: Duration = Duration::from_secs(30);
/// Connections that may be closed without an answer.
const ALLOWED: u64 = 3;

const CONFIGURATION: &str = r#"{"version":1,"routes":[
 {"name":"charge","host":"h.example","path-prefix":"/charge/","kind":"unsafe","timeout-ms":3000,"target-latency-ms":500,"priority":1,"service":"ledger","max-attempts":1,"public":false},
 {"name":"look","host":"h.example","path-prefix":"/look/","kind":"safe","timeout-ms":3000,"target-latency-ms":500,"priority":1,"service":"ledger","max-attempts":2,"public":false}],
"services":[{"name":"ledger","health-path":"/health","max-connections":96}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"tills","api-keys":["key-1"],"priority":1,"unit":"token_count","plain-tokens":1,"rate-per-s":100000000,"burst":100000000}]}"#;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
    /// Requests on kept connections that a replica ran and whose connection ended without an answer.
    lost: AtomicU64,
    stop: AtomicBool,
}

/// Whether the rule held.
pub fn run(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::create(folder)?);
    let temporary = Folder::create()?;
    let soak = Path::new("target/release/bilberrylatch-soak");
    let store = Store::start(soak, crate::node::free_address()?)?;
    store::put(store.address, "op/config", CONFIGURATION)?;
    let runs = Runs::default();
    for number in 0..4 {
        Replica::new(&format!("i-{number}"), "ledger", 6, WORK, &runs).start(store.address)?;
    }
    let mut node = Node::start(&temporary.0, "front-1", store.address, MACHINE)?;
    client::wait_until_ready(node.ready, Duration::from_secs(10))?;
    let counts = Arc::new(Counts::default());
    let mut threads = Vec::new();
    for number in 0..ORDINARY {
        let (front, counts, record, runs) = (node.front, Arc::clone(&counts), Arc::clone(&record), runs.clone());
        threads.push(thread::spawn(move || ordinary(number, front, &counts, &record, &runs)));
    }
    // The node learns how long the replicas take.
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        for number in 0..IMPATIENT {
            let (front, counts) = (node.front, Arc::clone(&counts));
            threads.push(thread::spawn(move || impatient(number, front, &counts)));
        }
    }
    let limit = if has_trouble { LOAD_TIME } else { CALM_TIME };
    watch(&mut node, &counts, &record, limit);
    counts.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_panic| "a client panicked".to_owned())?;
    }
    let lost = counts.lost.load(Ordering::Relaxed);
    record.line(&format!(
        "end: {} impatient requests sent, {} refused, {} otherwise; {lost} connections closed without an answer, {ALLOWED} allowed",
        counts.sent.load(Ordering::Relaxed),
        counts.refused.load(Ordering::Relaxed),
        counts.other.load(Ordering::Relaxed),
    ));
    record.flush();
    Ok(lost <= ALLOWED)
}

/// Does what the platform does with a process that exceeds its memory, and records the memory each second.
fn watch(node: &mut Node, counts: &Counts, record: &Record, limit: Duration) {
    let began = Instant::now();
    let mut noted = began;
    while began.elapsed() < limit {
        thread::sleep(Duration::from_millis(20));
        let Some(memory) = node.memory() else {
            record.line("the process ended");
            return;
        };
        let is_over = memory > MACHINE.memory_mb * MEGABYTE;
        if is_over || noted.elapsed() >= Duration::from_secs(1) {
            noted = Instant::now();
            let refused = counts.refused.load(Ordering::Relaxed);
            record.line(&format!("memory {memory} bytes after {refused} refusals"));
        }
        if is_over {
            record.line(&format!("killed: more than {} MB", MACHINE.memory_mb));
            node.kill();
            return;
        }
        if node.has_ended() {
            record.line("the process ended");
            return;
        }
    }
}

/// Sends one request after the other on a kept connection.
fn ordinary(client: usize, front: SocketAddr, counts: &Counts, record: &Record, runs: &Runs) {
    let Ok(mut connection) = Connection::open(front) else {
        return;
    };
    for number in 0.. {
        if counts.stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("o-{client}-{number}");
        let request = client::request("POST", &format!("/charge/{number}"), &id, DEADLINE_MS, 600);
        record.line(&format!("{id} sent"));
        let answer = connection.send(request.as_bytes()).and_then(|()| connection.receive());
        let run = runs.lock().expect("not poisoned").get(&id).copied().unwrap_or(0);
        if let Ok(Some(message)) = answer {
            record.line(&format!("{id} answered {}, run {run} times", message.status()));
            continue;
        }
        record.line(&format!("{id} closed without an answer, run {run} times"));
        if number > 0 && run > 0 {
            counts.lost.fetch_add(1, Ordering::Relaxed);
        }
        return;
    }
}

/// Sends requests with little time left and repeats each refused one at once.
fn impatient(client: usize, front: SocketAddr, counts: &Counts) {
    let Ok(mut connection) = Connection::open(front) else {
        return;
    };
    let mut number = 0_u64;
    while !counts.stop.load(Ordering::Relaxed) {
        let mut batch = String::new();
        for _request in 0..BATCH {
            number += 1;
            for repeat in 0..=REPEATS {
                let id = format!("i-{client}-{number}-{repeat}");
                batch += &client::request("GET", &format!("/look/{number}"), &id, SHORT_DEADLINE_MS, 0);
            }
        }
        if connection.send(batch.as_bytes()).is_err() {
            return;
        }
        let requests = BATCH * (REPEATS + 1);
        counts.sent.fetch_add(u64::from(requests), Ordering::Relaxed);
        for _answer in 0..requests {
            let Ok(Some(message)) = connection.receive() else {
                return;
            };
            let count = if message.status() == 503 {
                &counts.refused
            } else {
                &counts.other
            };
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
}
