//! Reports of limits that a client has reached.

use std::sync::{Mutex, PoisonError};

use base::Millis;
use indexmap::IndexMap;

/// Minimum interval between log lines of a limit. A crowd of clients must not make the node log more.
const LOG_INTERVAL: Millis = Millis(1_000);

/// A limit that a client has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Limit {
    /// A body is larger than the configuration allows.
    BodyBytes,
    /// A body arrives too slowly.
    BodyProgress,
    /// There is no memory for a request.
    RequestMemory,
    /// A slow reader's connection was closed, since there was no memory for another response.
    ResponseMemory,
    /// An idle or stalled connection was closed for a new one.
    Connections,
    /// A new connection was closed, since no other one could be.
    NewConnections,
}

impl Limit {
    /// Label used in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::BodyBytes => "body_bytes",
            Self::BodyProgress => "body_progress",
            Self::RequestMemory => "request_memory",
            Self::ResponseMemory => "response_memory",
            Self::Connections => "connections",
            Self::NewConnections => "new_connections",
        }
    }
}

/// Counts how often each limit was reached, and logs it from time to time.
#[derive(Debug, Default)]
pub struct Report {
    /// When each limit was last logged, and how often it was reached since then.
    logged: Mutex<IndexMap<Limit, (Millis, u64)>>,
}

impl Report {
    /// Records that a limit was reached. `used` is the use of what it bounds, and `max` the bound.
    pub fn record(&self, now: Millis, limit: Limit, used: usize, max: usize) {
        let label = limit.label();
        metrics::counter!("bilberrylatch_client_limits_total", "limit" => label).increment(1);
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !logged.contains_key(&limit);
        let (last, count) = logged.entry(limit).or_insert((now, 0));
        *count += 1;
        if !is_new && now.since(*last) < LOG_INTERVAL {
            return;
        }
        let times = std::mem::take(count);
        *last = now;
        drop(logged);
        log::warn!(limit = label, times, used, max; "clients reached a limit");
    }
}
