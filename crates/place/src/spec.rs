//! A replica as it registered itself.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Millis;

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It is about to leave and takes no new requests.
    Draining,
}

/// A replica's registration.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its id, which a restarted replica may keep.
    pub id: Arc<str>,
    /// Name of its endpoint.
    pub endpoint: Arc<str>,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// Whether it may be reclaimed on short notice.
    pub reclaimable: bool,
    /// How much longer it is slow after its start.
    pub warmup_remaining: Millis,
    /// Unix time of its start in milliseconds, if it says so; tells incarnations apart.
    pub started_unix_ms: Option<u64>,
}
