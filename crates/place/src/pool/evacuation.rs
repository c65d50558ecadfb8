//! Replicas in evacuated zones.
//!
//! Load pattern: operators empty a zone while it is in full use. All of its requests go to the other zones at once, and none may
//! go back when those have no room: the zone may be about to lose its power.

use std::sync::Arc;

use super::Pool;
use crate::{Demand, Refusal, ReplicaKey, Zones};

impl Pool {
    /// Replaces the evacuated zones.
    pub fn set_zones(&mut self, zones: &Arc<Zones>) {
        self.zones = Arc::clone(zones);
        let keys: Vec<ReplicaKey> = self.replicas.keys().collect();
        for key in keys {
            self.update_evacuation(key);
        }
    }

    /// Whether a replica's zone is evacuated.
    pub fn is_evacuated(&self, replica: ReplicaKey) -> bool {
        self.replicas.get(replica).is_some_and(|it| it.is_evacuated)
    }

    /// Marks a replica as evacuated or not, by its zone.
    pub(super) fn update_evacuation(&mut self, key: ReplicaKey) {
        let replica = &mut self.replicas[key];
        let was_evacuated = replica.is_evacuated;
        replica.is_evacuated = self.zones.is_evacuated(&replica.spec.zone);
        if was_evacuated && let Some(ended) = self.zones.ended_at(&replica.spec.zone) {
            // It may have become cold shortly before.
            replica.cold.assume(ended);
        }
        if replica.is_evacuated {
            // No request tests its connections any more.
            self.reach.forget(key);
        }
    }

    /// Why no replica may be chosen.
    pub(super) fn no_candidate(&self, demand: &Demand<'_>) -> Refusal {
        let is_ready = |key: &ReplicaKey| {
            let replica = &self.replicas[*key];
            replica.is_ready(demand.version) && !demand.tried.contains(key)
        };
        let (inside, outside): (Vec<ReplicaKey>, Vec<ReplicaKey>) = self
            .ids
            .values()
            .filter(|key| is_ready(key))
            .partition(|key| demand.allows_zone(&self.replicas[**key].spec.zone));
        // Those inside would be candidates if their zones were not evacuated.
        if !inside.is_empty() {
            Refusal::Evacuated
        } else if demand.tried.is_empty() && !outside.is_empty() {
            Refusal::OutsideRegions
        } else if demand.tried.is_empty() {
            Refusal::NoReplica
        } else {
            Refusal::AllTried
        }
    }
}
