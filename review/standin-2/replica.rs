//! A replica of a plain service.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::quote;
use crate::record::Record;
use crate::store::Store;

/// Interval at which a replica writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(15);
pub const SLOTS: u64 = 6;
/// Time for which a replica that crashed is away.
const DOWN: Duration = Duration::from_secs(2);
/// Interval at which a replica looks for new connections, and whether it is up again.
const POLL: Duration = Duration::from_millis(2);

/// What a replica is and does.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub version: &'static str,
    /// One in so many of its answers is a failure of its own; 0 for none.
    pub fails_one_in: u64,
    /// It crashes as it begins to run a request whose body begins so.
    pub crashes_on: Option<&'static [u8]>,
}

#[derive(Debug)]
struct Inner {
    kind: Kind,
    address: SocketAddr,
    born: AtomicU64,
    is_down: AtomicBool,
    /// The open connections.
    open: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
    sequence: AtomicU64,
    runs: AtomicU64,
    /// Ids of the requests that it has run.
    ids: Mutex<Vec<String>>,
    is_draining: AtomicBool,
    record: Record,
}

/// A running replica.
#[derive(Clone, Debug)]
pub struct Replica(Arc<Inner>);

impl Replica {
    /// Starts a replica that registers itself.
    pub fn start(store: &Store, record: &Record, kind: Kind) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Self(Arc::new(Inner {
            kind,
            address: listener.local_addr()?,
            born: AtomicU64::new(unix_ms()),
            is_down: AtomicBool::new(false),
            open: Mutex::default(),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            ids: Mutex::default(),
            is_draining: AtomicBool::new(false),
            record: record.clone(),
        }));
        let accepting = replica.clone();
        let registering = store.clone();
        thread::spawn(move || accepting.run(listener, &registering));
        let (writing, store) = (replica.clone(), store.clone());
        thread::spawn(move || loop {
            if !writing.0.is_down.load(Ordering::SeqCst) {
                writing.register(&store);
            }
            thread::sleep(HEARTBEAT);
        });
        Ok(replica)
    }

    /// Accepts connections. After a crash there is no listener for a while, and then it starts anew under its id.
    fn run(&self, mut listener: TcpListener, store: &Store) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.0.is_down.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(POLL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let replica = self.clone();
                thread::spawn(move || replica.serve(stream));
            }
            drop(listener);
            thread::sleep(DOWN);
            listener = loop {
                match TcpListener::bind(self.0.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(POLL),
                }
            };
            self.0.born.store(unix_ms(), Ordering::SeqCst);
            self.0.sequence.store(0, Ordering::SeqCst);
            self.0.is_down.store(false, Ordering::SeqCst);
            self.register(store);
        }
    }

    /// Ends all connections without an answer, as the end of a process does.
    fn crash(&self) {
        self.0.is_down.store(true, Ordering::SeqCst);
        for stream in self.0.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Reports that it is draining. It goes on serving.
    pub fn drain(&self, store: &Store) {
        self.0.is_draining.store(true, Ordering::Relaxed);
        self.register(store);
        self.0
            .record
            .line(&format!("replica {}: is draining", self.0.kind.id));
    }

    /// Ids of the requests that it has run.
    pub fn ids(&self) -> Vec<String> {
        self.0.ids.lock().unwrap().clone()
    }

    /// Number of requests that it has run.
    pub fn runs(&self) -> u64 {
        self.0.runs.load(Ordering::Relaxed)
    }

    fn register(&self, store: &Store) {
        store.put(&format!("servers/{}", self.0.kind.id), self.entry().as_bytes());
    }

    fn entry(&self) -> String {
        let Inner {
            kind, address, born, ..
        } = &*self.0;
        let born = born.load(Ordering::SeqCst);
        let sequence = self.0.sequence.fetch_add(1, Ordering::Relaxed);
        let state = if self.0.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"{}\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
            quote(kind.service),
            quote(kind.zone),
            kind.version
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(reading), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        {
            let mut open = self.0.open.lock().unwrap();
            open.retain(|it| it.peer_addr().is_ok());
            open.push(kept);
        }
        self.exchange(BufReader::new(reading), &stream);
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn exchange(&self, mut reader: BufReader<TcpStream>, writing: &TcpStream) {
        while !self.0.is_down.load(Ordering::SeqCst) {
            let Ok(Some(mut request)) = http::read_head(&mut reader) else {
                return;
            };
            if http::read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            if self.answer(&request, writing).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, stream: &TcpStream) -> std::io::Result<()> {
        let Inner {
            kind,
            running,
            record,
            ..
        } = &*self.0;
        let id = &kind.id;
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.path() == "/health" {
            return http::respond(stream, 200, &[("Instance-Id", id.clone())], b"");
        }
        if request.header("target-instance").is_some_and(|it| it != id) {
            let headers = [("Attempt-Id", attempt), ("Not-Executed", "1".to_owned())];
            return http::respond(stream, 421, &headers, b"");
        }
        let run = self.0.runs.fetch_add(1, Ordering::Relaxed) + 1;
        self.0.ids.lock().unwrap().push(attempt.clone());
        let fails = kind.fails_one_in > 0 && run % kind.fails_one_in == 0;
        record.line(&format!(
            "replica {id} ({}): runs {attempt}{}",
            kind.version,
            if fails { ", fails" } else { "" }
        ));
        if kind.crashes_on.is_some_and(|it| request.body.starts_with(it)) {
            record.line(&format!("replica {id}: crashes"));
            self.crash();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let others = running.fetch_add(1, Ordering::Relaxed);
        thread::sleep(WORK);
        running.fetch_sub(1, Ordering::Relaxed);
        let headers = [
            ("Response-Seal", format!("{id}.{attempt}")),
            ("Server-Load", format!("{others},0,{SLOTS}")),
            ("Attempt-Id", attempt),
        ];
        let status = if fails { 500 } else { 200 };
        http::respond(stream, status, &headers, format!("answer of {id}").as_bytes())
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}
