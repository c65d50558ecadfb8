//! Dense lists of free replicas, by version and availability zone.

use crate::hash::{Map, Set};
use crate::key::{ReplicaKey, VersionKey, ZoneKey};
use crate::replica::Placement;

/// Replicas with a free slot, unordered. Sampling by index takes constant time.
pub(crate) type Pool = Set<ReplicaKey>;

/// Replicas of an endpoint, or of one of its versions.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Number of replicas that are not leaving, free or not.
    pub live: usize,
    /// Free replicas of all zones.
    pub free: Pool,
    free_by_zone: Map<ZoneKey, Pool>,
}

impl Group {
    /// Returns the free replicas of a zone.
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

/// Replicas of an endpoint, for all versions together and for each version.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    all_versions: Group,
    by_version: Map<VersionKey, Group>,
}

impl Pools {
    /// Number of replicas that are not leaving.
    pub const fn live(&self) -> usize {
        self.all_versions.live
    }

    /// Number of replicas of a version that are not leaving; of all versions if `None`.
    pub fn live_in(&self, version: Option<VersionKey>) -> usize {
        self.group(version).map_or(0, |group| group.live)
    }

    /// Whether any replica has a free slot.
    pub fn has_free(&self) -> bool {
        !self.all_versions.free.is_empty()
    }

    /// Returns the replicas of a version; of all versions if `None`.
    pub fn group(&self, version: Option<VersionKey>) -> Option<&Group> {
        match version {
            None => Some(&self.all_versions),
            Some(version) => self.by_version.get(&version),
        }
    }

    /// Adds a live replica to the counts.
    pub fn add(&mut self, placement: Placement) {
        self.all_versions.live += 1;
        self.by_version.entry(placement.version).or_default().live += 1;
    }

    /// Removes a replica from the counts, and its version when it has no other replicas.
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

    /// Adds a replica to the free lists or removes it.
    pub fn set_free(&mut self, key: ReplicaKey, placement: Placement, free: bool) {
        self.all_versions.set_free(key, placement.zone, free);
        if let Some(group) = self.by_version.get_mut(&placement.version) {
            group.set_free(key, placement.zone, free);
        }
    }
}
