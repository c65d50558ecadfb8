//! Dense lists of the replicas that take work, by version and availability zone.

use crate::hash::{Map, Set};
use crate::key::{ReplicaKey, VersionKey, ZoneKey};
use crate::replica::Placement;

/// Replicas with a free slot, in no order; a draw by index costs the same at every size.
pub(crate) type Pool = Set<ReplicaKey>;

/// The replicas of an endpoint, or of one of its versions.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Replicas that are not leaving, free or not.
    pub live: usize,
    /// Free replicas of all zones.
    pub free: Pool,
    free_by_zone: Map<ZoneKey, Pool>,
}

impl Group {
    /// Free replicas of one zone.
    pub fn free_in_zone(&self, zone: ZoneKey) -> Option<&Pool> {
        self.free_by_zone.get(&zone)
    }

    fn set_free(&mut self, key: ReplicaKey, zone: ZoneKey, free: bool) {
        let pool = self.free_by_zone.entry(zone).or_default();
        if free {
            pool.insert(key);
            self.free.insert(key);
        } else {
            pool.swap_remove(&key);
            self.free.swap_remove(&key);
        }
    }
}

/// Every group of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    all_versions: Group,
    by_version: Map<VersionKey, Group>,
}

impl Pools {
    /// Replicas that are not leaving.
    pub const fn live(&self) -> usize {
        self.all_versions.live
    }

    /// Replicas of the version that are not leaving; of any version if none is named.
    pub fn live_in(&self, version: Option<VersionKey>) -> usize {
        self.group(version).map_or(0, |group| group.live)
    }

    /// Whether any replica has a free slot.
    pub fn has_free(&self) -> bool {
        !self.all_versions.free.is_empty()
    }

    /// The replicas of the version; all if none is named.
    pub fn group(&self, version: Option<VersionKey>) -> Option<&Group> {
        match version {
            None => Some(&self.all_versions),
            Some(version) => self.by_version.get(&version),
        }
    }

    /// Counts a replica in.
    pub fn add(&mut self, placement: Placement) {
        self.all_versions.live += 1;
        self.by_version.entry(placement.version).or_default().live += 1;
    }

    /// Counts a replica out; a version without replicas is forgotten.
    pub fn remove(&mut self, placement: Placement) {
        self.all_versions.live -= 1;
        let Some(group) = self.by_version.get_mut(&placement.version) else {
            return;
        };
        group.live -= 1;
        if group.live == 0 {
            self.by_version.swap_remove(&placement.version);
        }
    }

    /// Puts a replica in or takes it out of the lists of free ones.
    pub fn set_free(&mut self, key: ReplicaKey, placement: Placement, free: bool) {
        self.all_versions.set_free(key, placement.zone, free);
        if let Some(group) = self.by_version.get_mut(&placement.version) {
            group.set_free(key, placement.zone, free);
        }
    }
}
