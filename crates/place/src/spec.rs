//! Registration data of a replica.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Millis;

/// Readiness of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The replica accepts requests.
    Ready,
    /// The replica is about to end and accepts no new requests.
    Draining,
}

/// A replica's registration.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Id of the replica, which may stay the same across restarts.
    pub id: Arc<str>,
    /// Name of the endpoint that it serves.
    pub endpoint: Arc<str>,
    /// Address on which it serves.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: Arc<str>,
    /// Software version that it runs.
    pub version: Arc<str>,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Whether the cloud may reclaim it on short notice.
    pub reclaimable: bool,
    /// Remaining time for which it is slow after its start.
    pub warmup_remaining: Millis,
    /// Unix time of its start in milliseconds, if registered. It distinguishes incarnations with the same id.
    pub started_unix_ms: Option<u64>,
}
