//! Endpoint, availability zone and version of a replica.

use super::Spec;
use crate::key::{EndpointKey, VersionKey, ZoneKey};

/// The part of a replica's spec that selection needs. It is small because selection accesses replicas at random.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub endpoint: EndpointKey,
    pub zone: ZoneKey,
    pub version: VersionKey,
}

impl Placement {
    pub const fn new(spec: &Spec) -> Self {
        Self {
            endpoint: spec.endpoint,
            zone: spec.zone,
            version: spec.version,
        }
    }
}
