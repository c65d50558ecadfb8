//! Replica selection: the replica with the prefix cached, otherwise the less loaded of two random ones, preferably in
//! the same availability zone.

use base::Millis;
use base::seed::Generator;
use rand::RngExt;
use slotmap::SlotMap;

use super::Router;
use super::call::Call;
use crate::endpoint::Endpoint;
use crate::endpoint::pool::{Group, Pool};
use crate::key::{CallKey, ReplicaKey, VersionKey, ZoneKey};
use crate::replica::{Phase, Replica};

/// Number of random replicas with capacity that are compared.
const CHOICES: usize = 2;
/// Maximum number of samples from one list before giving up on finding a replica with capacity.
const MAX_SAMPLES: usize = 8;
/// The replica with the prefix cached is skipped when its utilization reaches this multiple of a random replica's.
const AFFINITY_LOAD_FACTOR: f32 = 8.0;
/// The same for a hot prefix, which alone has more requests in flight than a replica has on average.
const HOT_PREFIX_LOAD_FACTOR: f32 = 1.25;
/// Minimum number of requests in flight of a hot prefix.
const HOT_PREFIX_MIN_IN_FLIGHT: usize = 3;
/// The replica with the prefix cached is never skipped below this utilization.
const AFFINITY_MIN_UTILIZATION: f32 = 0.5;

/// Inputs of one selection.
struct Selector<'a> {
    now: Millis,
    zone: ZoneKey,
    replicas: &'a SlotMap<ReplicaKey, Replica>,
    endpoint: &'a Endpoint,
    call: &'a Call,
    avoid: Option<ReplicaKey>,
}

impl Router {
    /// Selects a replica with capacity for the request; `None` if a few samples find none.
    pub(super) fn select(&mut self, now: Millis, key: CallKey) -> Option<ReplicaKey> {
        let call = self.calls.get(&key)?;
        let endpoint = self.endpoints.get(call.arrival.endpoint)?;
        let mut selector = Selector {
            now,
            zone: self.zone,
            replicas: &self.replicas,
            endpoint,
            call,
            avoid: call.avoid,
        };
        let selected = selector.select(&mut self.generator);
        if selected.is_some() || selector.avoid.is_none() {
            return selected;
        }
        // The replica where the request failed last is better than none, as waiting would block the requests behind it.
        selector.avoid = None;
        selector.select(&mut self.generator)
    }
}

impl Selector<'_> {
    fn select(&self, generator: &mut Generator) -> Option<ReplicaKey> {
        let sampled = self
            .sample_version(self.call.arrival.version, generator)
            .or_else(|| {
                let fallback = self.call.arrival.fallback?;
                self.sample_version(Some(fallback), generator)
            })?;
        let Some(preferred) = self.affinity_replica(sampled) else {
            return Some(sampled);
        };
        if self.is_overloaded(preferred, sampled) {
            return Some(sampled);
        }
        if self.is_eligible(preferred) {
            return Some(preferred);
        }
        // While all replicas are similarly loaded, waiting costs less than recomputing the prefix on another one.
        let group = self.endpoint.pools.group(self.call.arrival.version)?;
        let other = self.sample(&group.free, MAX_SAMPLES, generator)?;
        (self.utilization(other) <= 0.0).then_some(other)
    }

    /// Whether the replica with the prefix cached is too heavily loaded compared with another one.
    fn is_overloaded(&self, preferred: ReplicaKey, other: ReplicaKey) -> bool {
        let factor = if self.is_hot() {
            HOT_PREFIX_LOAD_FACTOR
        } else {
            AFFINITY_LOAD_FACTOR
        };
        self.utilization(preferred) >= (self.utilization(other) * factor).max(AFFINITY_MIN_UTILIZATION)
    }

    /// Whether the prefix alone has more of this node's requests in flight than a replica has on average.
    fn is_hot(&self) -> bool {
        let location = self
            .call
            .arrival
            .prefix
            .and_then(|prefix| self.endpoint.prefixes.get(prefix));
        let own = location.map_or(0, |location| location.in_flight) as usize;
        own >= HOT_PREFIX_MIN_IN_FLIGHT
            && own * self.endpoint.pools.live() >= self.endpoint.in_flight as usize
    }

    /// Returns the replica with the request's prefix cached, if the request may use it.
    fn affinity_replica(&self, sampled: ReplicaKey) -> Option<ReplicaKey> {
        if !self.endpoint.settings.affinity {
            return None;
        }
        let preferred = self.endpoint.prefixes.get(self.call.arrival.prefix?)?.replica;
        let replica = self.replicas.get(preferred)?;
        let other = self.replicas.get(sampled)?;
        let is_available = replica.phase == Phase::Live && self.avoid != Some(preferred);
        (is_available && replica.placement.version == other.placement.version).then_some(preferred)
    }

    fn sample_version(&self, version: Option<VersionKey>, generator: &mut Generator) -> Option<ReplicaKey> {
        let group = self.endpoint.pools.group(version)?;
        self.sample_group(group, generator)
    }

    fn sample_group(&self, group: &Group, generator: &mut Generator) -> Option<ReplicaKey> {
        let same_zone = group
            .free_in_zone(self.zone)
            .and_then(|pool| self.sample(pool, CHOICES, generator));
        same_zone.or_else(|| self.sample(&group.free, CHOICES, generator))
    }

    /// Samples up to `choices` random replicas with capacity and returns the least loaded.
    fn sample(&self, pool: &Pool, choices: usize, generator: &mut Generator) -> Option<ReplicaKey> {
        let len = pool.len();
        if len == 0 {
            return None;
        }
        let first = generator.random_range(0..len);
        // A random step varies the sampled replicas; short lists are scanned completely.
        let step = if len <= MAX_SAMPLES {
            1
        } else {
            generator.random_range(1..len)
        };
        let mut best = None;
        let mut eligible = 0;
        for sample_index in 0..len.min(MAX_SAMPLES) {
            let index = (first + sample_index * step) % len;
            let Some(&key) = pool.get_index(index) else {
                continue;
            };
            if !self.is_eligible(key) {
                continue;
            }
            best = self.less_loaded(best, key);
            eligible += 1;
            if eligible == choices {
                break;
            }
        }
        best
    }

    fn less_loaded(&self, best: Option<ReplicaKey>, key: ReplicaKey) -> Option<ReplicaKey> {
        let Some(old) = best else {
            return Some(key);
        };
        (self.utilization_with_next(key) < self.utilization_with_next(old))
            .then_some(key)
            .or(best)
    }

    fn utilization_with_next(&self, key: ReplicaKey) -> f32 {
        self.replicas
            .get(key)
            .map_or(f32::MAX, |replica| replica.utilization_with_next(self.now))
    }

    fn utilization(&self, key: ReplicaKey) -> f32 {
        self.replicas
            .get(key)
            .map_or(f32::MAX, |replica| replica.utilization(self.now))
    }

    /// Whether the replica has capacity and is not the one to avoid.
    fn is_eligible(&self, key: ReplicaKey) -> bool {
        self.avoid != Some(key)
            && self
                .replicas
                .get(key)
                .is_some_and(|replica| replica.has_capacity(self.now))
    }
}
