//! Where a replica belongs.

use super::Spec;
use crate::key::{EndpointKey, VersionKey, ZoneKey};

/// The part of a replica's spec that every choice needs; kept small, as draws touch replicas at random.
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
