//! Some servers hand out a second answer now and then (`garble`, `extra late`), which arrives where the answer to the next
//! request is due: the refusal of another attempt, which its id tells apart, or an answer that names no request.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::Random;
use crate::Verdict;
use crate::client::{Client, Request};
use crate::deployment::{Deployment, KEY};
use crate::http::{Connection, Message, answer};
use crate::replica::{Handler, Replica};

/// Share of the servers, share of their answers, and length of the disruption: at most 0.6, 0.03 and 5 s in the site's file.
const BAD_SERVERS: [&str; 2] = ["i-1", "i-2"];
const SHARE_OF_ANSWERS: f64 = 0.03;
const LENGTH: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(1_000);
/// The disruption comes this often.
const TIMES: usize = 16;
/// Time that a request runs for.
const WORK: Duration = Duration::from_millis(15);
/// Clients, each with one request at a time, four in a row, and the mean pause then: together about as many a second as on the
/// sheet, 10.7 unsafe ones and 6.8 safe ones.
const CLIENTS: usize = 10;
const IN_A_ROW: usize = 4;
const MEAN_PAUSE_MS: f64 = 2_150.0;
const SHARE_OF_SAFE: f64 = 0.39;
const DEADLINE_MS: u64 = 600;

/// Wrong answers that may be given to proper requests: so many, and one in so many of all.
const MAX_DENIED: usize = 5;
const MAX_DENIED_OF: usize = 500;
/// The attempt whose refusal arrives late.
const OTHER: &str = "7e11aa04c0ffee01";

/// The late answer.
#[derive(Clone, Copy, PartialEq)]
pub enum Late {
    /// The refusal of another attempt.
    Refusal,
    /// One that names no request.
    BadRequest,
}

struct Trouble {
    late: Late,
    is_on: AtomicBool,
    random: Mutex<Random>,
    extra: AtomicU64,
    number: AtomicU64,
}

impl Trouble {
    fn draw(&self, part: f64) -> bool {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.part() < part
    }

    fn handle(&self, replica: &Replica, connection: &mut Connection, request: &Message) -> bool {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        replica.run(&id, WORK);
        if connection.write(replica.answer(&id, &format!("done {id}")).as_bytes()).is_err() {
            return false;
        }
        let is_bad = BAD_SERVERS.contains(&replica.id.as_str()) && self.is_on.load(Ordering::Relaxed);
        if is_bad && self.draw(SHARE_OF_ANSWERS) {
            // The late answer arrives where the next one is expected.
            if !connection.has_more() {
                return false;
            }
            if !self.is_on.load(Ordering::Relaxed) {
                // None after the end of the disruption.
                return true;
            }
            let late = match self.late {
                Late::Refusal => answer(503, &format!("Not-Executed: 1\r\nAttempt-Id: {OTHER}\r\n"), ""),
                Late::BadRequest => answer(400, "", ""),
            };
            self.extra.fetch_add(1, Ordering::Relaxed);
            return connection.write(late.as_bytes()).is_ok();
        }
        true
    }
}

pub fn run(folder: &Path, has_trouble: bool, late: Late) -> Result<Verdict, String> {
    let trouble = Arc::new(Trouble {
        late,
        is_on: AtomicBool::new(false),
        random: Mutex::new(Random::new(7)),
        extra: AtomicU64::new(0),
        number: AtomicU64::new(0),
    });
    let handler: Handler = {
        let trouble = Arc::clone(&trouble);
        Arc::new(move |replica, connection, request| trouble.handle(replica, connection, request))
    };
    let deployment = Deployment::start(folder, handler)?;
    let record = deployment.record.clone();
    let ends = Instant::now() + (LENGTH + PAUSE) * TIMES as u32;
    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let addresses: Vec<_> = deployment.nodes.iter().map(|node| node.front).collect();
        let (record, answers, trouble) = (record.clone(), Arc::clone(&answers), Arc::clone(&trouble));
        threads.push(std::thread::spawn(move || {
            let mut client = Client::default();
            let mut random = Random::new(number as u64 + 1);
            let address = addresses[number % addresses.len()];
            let mut sent = 0;
            while Instant::now() < ends {
                let is_safe = random.part() < SHARE_OF_SAFE;
                // The id tells the kind.
                let kind = if is_safe { "5afe" } else { "0bad" };
                let id = format!("{kind}{:012x}", trouble.number.fetch_add(1, Ordering::Relaxed));
                let request = Request {
                    method: "POST",
                    path: if is_safe { "/safe/2f" } else { "/unsafe/2f" },
                    id: &id,
                    key: KEY,
                    deadline_ms: DEADLINE_MS,
                    lines: "",
                    body: "charge",
                };
                record.line(&format!("{id} sent to {address}"));
                let end = client.send(address, &request);
                record.line(&format!("{id} answered {}", end.label()));
                answers.lock().unwrap_or_else(PoisonError::into_inner).insert(id, end.label());
                sent += 1;
                if sent % IN_A_ROW == 0 {
                    std::thread::sleep(Duration::from_millis((random.part() * 2.0 * MEAN_PAUSE_MS) as u64));
                }
            }
        }));
    }
    for _time in 0..TIMES {
        trouble.is_on.store(has_trouble, Ordering::Relaxed);
        record.line(if has_trouble { "second answers begin" } else { "no trouble" });
        std::thread::sleep(LENGTH);
        trouble.is_on.store(false, Ordering::Relaxed);
        std::thread::sleep(PAUSE);
    }
    for thread in threads {
        let _joined = thread.join();
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for run in deployment.runs.all() {
        record.line_at(run.at, &format!("{} run by {}", run.id, run.replica));
        runs.entry(run.id).or_default().push(run.replica);
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let is_unsafe = |id: &str| !id.starts_with("5afe");
    let twice: Vec<_> = runs.iter().filter(|(id, by)| is_unsafe(id) && by.len() > 1).collect();
    let is_refusal = |end: &str| matches!(end, "408" | "421" | "429" | "503");
    let refused = answers.iter().filter(|(id, end)| is_unsafe(id) && is_refusal(end) && runs.contains_key(*id));
    let refused: Vec<_> = refused.collect();
    // Nodes have no reason to end any of these requests with such a status, and servers gave none to them.
    let is_denial = |end: &str| end.starts_with('4') && !is_refusal(end);
    let denied: Vec<_> = answers.iter().filter(|(_, end)| is_denial(end)).collect();
    let denied_and_run = denied.iter().filter(|(id, _)| runs.contains_key(*id)).count();
    let is_denied = denied.len() * MAX_DENIED_OF > MAX_DENIED * MAX_DENIED_OF + answers.len();
    record.say(&format!(
        "{} requests, {} second answers; unsafe ones run twice: {}; unsafe ones refused and run: {}; ended with 4xx: {}, of which \
         run: {denied_and_run}",
        answers.len(),
        trouble.extra.load(Ordering::Relaxed),
        twice.len(),
        refused.len(),
        denied.len()
    ));
    for (id, by) in &twice {
        record.say(&format!("TWICE {id}: run by {by:?}, answered {}", answers.get(*id).map_or("-", String::as_str)));
    }
    for (id, end) in &refused {
        record.say(&format!("REFUSED {id}: answered {end} and run"));
    }
    for (id, end) in &denied {
        let by = runs.get(*id);
        record.say(&format!("DENIED {id}: answered {end}, run by {by:?}"));
    }
    Ok(if twice.is_empty() && refused.is_empty() && !is_denied { Verdict::Held } else { Verdict::Broken })
}
