//! What a replica is.

use crate::key::{EndpointKey, VersionKey, ZoneKey};

/// A replica as it is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The endpoint it serves.
    pub endpoint: EndpointKey,
    /// Its availability zone, from `Router::zone`.
    pub zone: ZoneKey,
    /// Its version, from `Router::version`.
    pub version: VersionKey,
    /// Requests that it is known to run at once; the adaptive limit starts here.
    pub capacity: u32,
    /// Hash of its address and incarnation, equal on every node. No choice uses it so far.
    pub identity: u64,
}
