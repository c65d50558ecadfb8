//! Specification of a replica.

use crate::key::{EndpointKey, VersionKey, ZoneKey};

/// Specification of a replica to add to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Endpoint that the replica serves.
    pub endpoint: EndpointKey,
    /// Availability zone, from `Router::zone_key`.
    pub zone: ZoneKey,
    /// Version, from `Router::version_key`.
    pub version: VersionKey,
    /// Known number of requests that run concurrently. The adaptive limit starts at this value.
    pub capacity: u32,
    /// Hash of address and incarnation, equal on all nodes. Selection does not use it.
    pub identity: u64,
}
