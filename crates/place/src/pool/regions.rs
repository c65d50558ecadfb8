//! Replicas outside the zones in which a request may be processed.

use std::sync::Arc;

use super::Pool;
use crate::{Demand, ReplicaKey};

impl Pool {
    /// Whether a replica may be chosen for a request, apart from its health and load.
    pub(super) fn is_eligible(&self, key: ReplicaKey, demand: &Demand<'_>) -> bool {
        let replica = &self.replicas[key];
        replica.is_usable(demand.version) && demand.allows_zone(&replica.spec.zone)
    }

    /// Whether a replica's zone is one of these, if there are any.
    pub fn is_in_zones(&self, replica: ReplicaKey, zones: Option<&[Arc<str>]>) -> bool {
        let zone = self.replicas.get(replica).map(|it| &it.spec.zone);
        zones.is_none_or(|zones| zone.is_some_and(|zone| zones.contains(zone)))
    }
}
