//! A replica of a plain service.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
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

/// What a replica is and does.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub version: &'static str,
    /// One in so many of its answers is a failure of its own; 0 for none.
    pub fails_one_in: u64,
}

#[derive(Debug)]
struct Inner {
    kind: Kind,
    address: SocketAddr,
    born: u128,
    running: AtomicU64,
    sequence: AtomicU64,
    runs: AtomicU64,
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
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |it| it.as_millis()),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            record: record.clone(),
        }));
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = accepting.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        let (writing, store) = (replica.clone(), store.clone());
        thread::spawn(move || loop {
            writing.register(&store);
            thread::sleep(HEARTBEAT);
        });
        Ok(replica)
    }

    /// Reports that it is draining. It goes on serving.
    pub fn drain(&self, store: &Store) {
        self.0.is_draining.store(true, Ordering::Relaxed);
        self.register(store);
        self.0
            .record
            .line(&format!("replica {}: is draining", self.0.kind.id));
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
        let Ok(reading) = stream.try_clone() else { return };
        let mut writing = stream;
        let mut reader = BufReader::new(reading);
        loop {
            let Ok(Some(mut request)) = http::read_head(&mut reader) else {
                return;
            };
            if http::read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            if self.answer(&request, &mut writing).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
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
        let fails = kind.fails_one_in > 0 && run % kind.fails_one_in == 0;
        record.line(&format!(
            "replica {id} ({}): runs {attempt}{}",
            kind.version,
            if fails { ", fails" } else { "" }
        ));
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
