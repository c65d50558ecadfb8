//! Evacuated zones.

use std::sync::Arc;

use arc_swap::Guard;
use place::{ReplicaKey, Zones};

use super::Shared;

impl Shared {
    /// The evacuated zones.
    pub fn zones(&self) -> Guard<Arc<Zones>> {
        self.zones.load()
    }

    /// Excludes the replicas of a zone from now on.
    pub fn evacuate_zone(&self, zone: &Arc<str>) {
        self.change_zones(|zones| zones.evacuate(zone));
    }

    /// Admits the replicas of a zone again whose evacuation has ended.
    pub fn reopen_zone(&self, zone: &Arc<str>) {
        let now = self.now();
        self.change_zones(|zones| zones.reopen(now, zone));
    }

    fn change_zones<F>(&self, change: F)
    where
        F: FnOnce(&mut Zones) -> bool,
    {
        self.with_pools(|pools| {
            let mut zones = Zones::clone(&self.zones());
            if !change(&mut zones) {
                return;
            }
            metrics::gauge!("bilberrylatch_evacuated_zones").set(zones.evacuated().len() as f64);
            let zones = Arc::new(zones);
            self.zones.store(Arc::clone(&zones));
            for pool in pools.values_mut() {
                pool.set_zones(&zones);
            }
        });
    }

    /// Whether a replica's zone is evacuated.
    pub fn is_evacuated(&self, endpoint: &Arc<str>, replica: ReplicaKey) -> bool {
        self.zones().evacuated().len() > 0 && self.with_pool(endpoint, |pool| pool.is_evacuated(replica))
    }
}
