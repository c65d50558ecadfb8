//! Crashes of replicas under requests.

use base::Millis;
use serde::{Deserialize, Serialize};

/// Maximum difference of the times at which nodes notice the same crash of a replica.
pub(crate) const SAME_CRASH: Millis = Millis(1_000);

/// A request whose replica crashed before it had sent much of its response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the replica's incarnation, which crashes once. Builds up to 8742da2 send that of its id.
    pub replica: u64,
    /// Time since the crash.
    pub age: Millis,
    /// Id of the request, and those of the parts that it shares with others. Builds up to 8742da2 send those of parts only.
    pub parts: Vec<u64>,
}

/// A crash with its time on this node's clock.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    pub replica: u64,
    pub at: Millis,
    pub parts: Vec<u64>,
    /// Number of the crash, which events of other requests at the same replica share.
    pub crash: u64,
}

impl Event {
    /// Whether the request has all of these parts.
    pub fn has_all(&self, parts: &[u64]) -> bool {
        parts.iter().all(|part| self.parts.contains(part))
    }
}
