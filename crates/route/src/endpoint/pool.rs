//! Dense lists of the replicas that take work, by version and availability zone.

use crate::hash::{Map, Set};
use crate::key::{ReplicaKey, VersionKey, ZoneKey};
use crate::replica::Place;

/// Replicas with a free slot, in no order; a draw by index costs the same at every size.
pub(crate) type Pool = Set<ReplicaKey>;

/// The replicas of an endpoint, or of one of its versions.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Replicas that are not leaving, free or not.
    pub live: usize,
    /// Free replicas of all zones.
    pub all: Pool,
    zones: Map<ZoneKey, Pool>,
}

impl Group {
    /// Free replicas of one zone.
    pub fn zone(&self, zone: ZoneKey) -> Option<&Pool> {
        self.zones.get(&zone)
    }

    fn set_free(&mut self, key: ReplicaKey, zone: ZoneKey, free: bool) {
        let pool = self.zones.entry(zone).or_default();
        if free {
            pool.insert(key);
            self.all.insert(key);
        } else {
            pool.swap_remove(&key);
            self.all.swap_remove(&key);
        }
    }
}

/// Every group of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    any: Group,
    versions: Map<VersionKey, Group>,
}

impl Pools {
    /// Replicas that are not leaving.
    pub const fn live(&self) -> usize {
        self.any.live
    }

    /// Replicas of the version that are not leaving; of any version if none is named.
    pub fn live_of(&self, version: Option<VersionKey>) -> usize {
        self.group(version).map_or(0, |group| group.live)
    }

    /// Whether any replica has a free slot.
    pub fn has_free(&self) -> bool {
        !self.any.all.is_empty()
    }

    /// The replicas of the version; all if none is named.
    pub fn group(&self, version: Option<VersionKey>) -> Option<&Group> {
        match version {
            None => Some(&self.any),
            Some(version) => self.versions.get(&version),
        }
    }

    /// Counts a replica in.
    pub fn add(&mut self, place: Place) {
        self.any.live += 1;
        self.versions.entry(place.version).or_default().live += 1;
    }

    /// Counts a replica out; a version without replicas is forgotten.
    pub fn remove(&mut self, place: Place) {
        self.any.live -= 1;
        let Some(group) = self.versions.get_mut(&place.version) else {
            return;
        };
        group.live -= 1;
        if group.live == 0 {
            self.versions.swap_remove(&place.version);
        }
    }

    /// Puts a replica in or takes it out of the lists of free ones.
    pub fn set_free(&mut self, key: ReplicaKey, place: Place, free: bool) {
        self.any.set_free(key, place.zone, free);
        if let Some(group) = self.versions.get_mut(&place.version) {
            group.set_free(key, place.zone, free);
        }
    }
}
