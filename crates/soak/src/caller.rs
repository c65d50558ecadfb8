//! Callers that send requests until they are stopped.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::seed::Generator;
use base::{Millis, Seed};
use clock::Clock;
use rand::RngExt;
use standin::caller::{Caller, Response};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::attempt::{self, Attempt, End, Key, Kind};

/// Timeouts that callers state in their requests, in milliseconds.
const TIMEOUTS_MS: [u64; 3] = [400, 1_200, 3_000];
/// Time beyond its deadline after which a caller stops waiting for a response or for the rest of it.
const GIVE_UP_AFTER: Duration = Duration::from_secs(3);
/// Shortest and longest pause between two requests of a caller, in milliseconds.
const PAUSES_MS: [u64; 2] = [5, 60];
/// One in this many requests goes to a newly drawn node; the others keep the node and the open connection.
const REQUESTS_PER_NODE_CHANGE: usize = 12;

/// Target nodes of the callers and the record of their requests.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Addresses at which callers reach the nodes.
    pub nodes: Arc<[SocketAddr]>,
    /// Clock of the run.
    pub clock: Clock,
    /// Start of the run.
    pub start: Millis,
    /// All completed requests.
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Workload {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Millis {
        Millis(self.clock.now().since(self.start).0)
    }

    /// Whether the latest request with this id was answered with success.
    pub fn has_succeeded(&self, id: &str) -> bool {
        let attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut matching = attempts.iter().rev().filter(|attempt| attempt.id == id);
        matching.next().is_some_and(Attempt::is_success)
    }

    /// Sends one request after another until `stop` becomes true.
    pub async fn send_until_stopped(self, number: usize, seed: Seed, mut stop: watch::Receiver<bool>) {
        let mut generator = seed.generator();
        let mut node = generator.random_range(0..self.nodes.len());
        let mut caller = None;
        let mut count = 0_u64;
        while !*stop.borrow() {
            if generator.random_range(0..REQUESTS_PER_NODE_CHANGE) == 0 {
                node = generator.random_range(0..self.nodes.len());
                caller = None;
            }
            count += 1;
            let request = Request::draw(&mut generator, format!("{number}-{count}"), node);
            caller = self.send(caller, request).await;
            if caller.is_none() {
                node = generator.random_range(0..self.nodes.len());
            }
            let pause = Duration::from_millis(generator.random_range(PAUSES_MS[0]..PAUSES_MS[1]));
            // An error means that the sender has been dropped, which ends the run as well.
            let _stopped = timeout(pause, stop.wait_for(|stop| *stop)).await;
        }
    }

    /// Sends a request and records its outcome; returns the connection if it can be reused.
    pub async fn send(&self, connection: Option<Caller>, request: Request) -> Option<Caller> {
        let sent = self.now();
        let connection = connection.filter(|caller| !caller.is_closed());
        let (end, caller) = match connection {
            Some(caller) => request.send(caller).await,
            None => match Caller::connect(self.nodes[request.node]).await {
                Ok(caller) => request.send(caller).await,
                Err(_refused) => (End::Unsent, None),
            },
        };
        let attempt = Attempt {
            id: request.id,
            kind: request.kind,
            key: request.key,
            node: request.node,
            sent,
            patience: request.patience,
            ended: self.now(),
            end,
        };
        let mut attempts = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.push(attempt);
        caller
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: String,
    /// Kind of the route.
    pub kind: Kind,
    /// API key.
    pub key: Key,
    /// Index of the node that it is sent to.
    pub node: usize,
    /// Timeout that the caller states in the request.
    pub patience: Duration,
}

impl Request {
    fn draw(generator: &mut Generator, id: String, node: usize) -> Self {
        let kind = match generator.random_range(0..4) {
            0 => Kind::Safe,
            1 => Kind::Stream,
            _ => Kind::Unsafe,
        };
        let key = if generator.random_range(0..4) == 0 {
            Key::Second
        } else {
            Key::First
        };
        let patience = TIMEOUTS_MS[generator.random_range(0..TIMEOUTS_MS.len())];
        Self {
            id,
            kind,
            key,
            node,
            patience: Duration::from_millis(patience),
        }
    }

    async fn send(&self, mut caller: Caller) -> (End, Option<Caller>) {
        let path = format!("{}{}", self.kind.path_prefix(), self.id);
        let call = caller.send(&path, &self.id, self.key.as_str(), self.patience);
        match timeout(self.patience + GIVE_UP_AFTER, call).await {
            Err(_elapsed) => (End::Silent, None),
            Ok(None) => (End::Cut, None),
            Ok(Some(received)) => {
                let is_complete = received.body.is_some();
                (End::Told(response(received)), is_complete.then_some(caller))
            }
        }
    }
}

fn response(received: Response) -> attempt::Response {
    attempt::Response {
        status: received.status.as_u16(),
        has_retry_after: received.header("retry-after").is_some(),
        seal: received.signature().map(str::to_owned),
        body: received.body,
    }
}
