//! Sound replicas: each request takes the same time, and an honest load is told with each answer.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::{node, store};

/// Interval between writes of the registration.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Start of each replica, in Unix milliseconds.
const BORN: u64 = 1_700_000_000_000;
/// Bytes of an answer.
const ANSWER_BYTES: usize = 800;

/// How often each request was run, by its id.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// What a replica is and does.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    pub runs: Runs,
    running: Arc<AtomicU32>,
}

impl Replica {
    pub fn new(id: &str, service: &'static str, slots: u32, work: Duration, runs: &Runs) -> Self {
        Self {
            id: id.to_owned(),
            service,
            slots,
            work,
            runs: Arc::clone(runs),
            running: Arc::default(),
        }
    }

    /// Serves and registers until the process ends.
    pub fn start(self, store: SocketAddr) -> Result<(), String> {
        let address = node::free_address()?;
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let replica = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = replica.clone();
                // The node may close a connection at any time.
                thread::spawn(move || replica.serve(stream));
            }
        });
        self.register(store, address, 0)?;
        thread::spawn(move || {
            for sequence in 1.. {
                thread::sleep(HEARTBEAT);
                if self.register(store, address, sequence).is_err() {
                    return;
                }
            }
        });
        Ok(())
    }

    fn register(&self, store: SocketAddr, address: SocketAddr, sequence: u32) -> Result<(), String> {
        let Self {
            id, service, slots, ..
        } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-1","version":"v1","slots":{slots},"state":"ready","cold-remaining-ms":0,"sequence":{sequence},"born":{BORN}}}"#
        );
        store::put(store, &format!("servers/{id}"), &entry)
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            let answer = self.answer(&request);
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> String {
        let id = request.header("attempt-id").unwrap_or_default();
        if request.header("target-instance") != Some(&*self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        *self.runs.lock().expect("not poisoned").entry(id.to_owned()).or_default() += 1;
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let body = "a".repeat(ANSWER_BYTES);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: {id}.{}\r\nServer-Load: {},{},{}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            running.min(self.slots),
            running.saturating_sub(self.slots),
            self.slots,
            body.len()
        )
    }
}
