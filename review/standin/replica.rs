//! Servers of a service without a model, as the pages describe them.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer, serve};

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub replica: String,
}

/// What all servers have seen.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn add(&self, id: &str, replica: &str) {
        let run = Run { at: Instant::now(), id: id.to_owned(), replica: replica.to_owned() };
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }
}

/// What else a server does with a request and the connection.
pub type Handler = Arc<dyn Fn(&Replica, &mut Connection, &Message) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub zone: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub runs: Runs,
    running: Arc<AtomicUsize>,
}

impl Replica {
    /// Starts a server. `handler` answers the requests that are meant for it; it returns whether the connection stays open.
    pub fn start(service: &str, id: &str, zone: &str, slots: usize, runs: &Runs, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots,
            runs: runs.clone(),
            running: Arc::default(),
        };
        let this = replica.clone();
        serve(listener, move |connection| this.clone().handle_connection(connection, &handler));
        replica
    }

    fn handle_connection(self, mut connection: Connection, handler: &Handler) {
        while let Ok(Some(request)) = connection.read() {
            if !request.whole {
                return;
            }
            if request.header("target-instance").is_some_and(|it| it != self.id) {
                let id = request.header("attempt-id").unwrap_or("");
                let refusal = answer(421, &format!("Not-Executed: 1\r\nAttempt-Id: {id}\r\n"), "");
                if connection.write(refusal.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !handler(&self, &mut connection, &request) {
                return;
            }
        }
    }

    /// Runs a request for a time.
    pub fn run(&self, id: &str, work: Duration) {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.runs.add(id, &self.id);
        std::thread::sleep(work);
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// The whole answer to a request that was run.
    pub fn answer(&self, id: &str, body: &str) -> String {
        let load = format!("{},0,{}", self.running.load(Ordering::Relaxed), self.slots);
        let seal = format!("{}.{id}", self.id);
        let lines = format!("Attempt-Id: {id}\r\nResponse-Seal: {seal}\r\nServer-Load: {load}\r\nKeep-Alive: timeout=5\r\n");
        answer(200, &lines, body)
    }

    /// The entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":1765000000000}}",
            self.service, self.address, self.zone, self.slots
        )
    }
}
