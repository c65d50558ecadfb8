//! Choice of replica: the prefix's own, else the better of two at random, same zone first.

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

/// Replicas with room that are compared.
const CHOICES: usize = 2;
/// Most draws from one list until a replica with room is taken for not to be found.
const MOST_DRAWS: usize = 8;
/// Use of the prefix's own replica from which on it is passed over, as a multiple of that of one drawn at random.
const AFFINITY_BOUND: f32 = 8.0;
/// Use of a replica up to which its prefixes are always sent to it.
const AFFINITY_FREE: f32 = 0.5;

/// What a choice looks at.
struct View<'a> {
    now: Millis,
    zone: ZoneKey,
    replicas: &'a SlotMap<ReplicaKey, Replica>,
    endpoint: &'a Endpoint,
    call: &'a Call,
    avoid: Option<ReplicaKey>,
}

impl Router {
    /// A replica with room for the request; none if there is none, as far as a few draws show.
    pub(super) fn choose(&mut self, now: Millis, key: CallKey) -> Option<ReplicaKey> {
        let call = self.calls.get(&key)?;
        let endpoint = self.endpoints.get(call.arrival.endpoint)?;
        let mut view = View {
            now,
            zone: self.zone,
            replicas: &self.replicas,
            endpoint,
            call,
            avoid: call.avoid,
        };
        let chosen = view.choose(&mut self.generator);
        if chosen.is_some() || view.avoid.is_none() {
            return chosen;
        }
        // Where it failed last is better than no replica; else it would block what waits behind it.
        view.avoid = None;
        view.choose(&mut self.generator)
    }
}

impl View<'_> {
    fn choose(&self, generator: &mut Generator) -> Option<ReplicaKey> {
        let drawn = self
            .draw_version(self.call.arrival.version, generator)
            .or_else(|| {
                let fallback = self.call.arrival.fallback?;
                self.draw_version(Some(fallback), generator)
            })?;
        let Some(home) = self.home(drawn) else {
            return Some(drawn);
        };
        if self.passes_over(home, drawn) {
            return Some(drawn);
        }
        if self.suits(home) {
            return Some(home);
        }
        // While all are about as busy, waiting costs less than working the prefix out again elsewhere.
        let group = self.endpoint.pools.group(self.call.arrival.version)?;
        let other = self.draw(&group.all, MOST_DRAWS, generator)?;
        (self.used(other) <= 0.0).then_some(other)
    }

    /// Whether the request goes elsewhere than to the replica that holds its prefix.
    fn passes_over(&self, home: ReplicaKey, other: ReplicaKey) -> bool {
        self.used(home) >= (self.used(other) * AFFINITY_BOUND).max(AFFINITY_FREE)
    }

    /// The replica that holds the request's prefix, if the request may go there.
    fn home(&self, drawn: ReplicaKey) -> Option<ReplicaKey> {
        if !self.endpoint.settings.affinity {
            return None;
        }
        let home = self.endpoint.table.get(self.call.arrival.prefix?)?;
        let replica = self.replicas.get(home)?;
        let other = self.replicas.get(drawn)?;
        let may = replica.phase == Phase::Live && self.avoid != Some(home);
        (may && replica.spec.version == other.spec.version).then_some(home)
    }

    fn draw_version(&self, version: Option<VersionKey>, generator: &mut Generator) -> Option<ReplicaKey> {
        let group = self.endpoint.pools.group(version)?;
        self.draw_group(group, generator)
    }

    fn draw_group(&self, group: &Group, generator: &mut Generator) -> Option<ReplicaKey> {
        let near = group
            .zone(self.zone)
            .and_then(|pool| self.draw(pool, CHOICES, generator));
        near.or_else(|| self.draw(&group.all, CHOICES, generator))
    }

    /// The least used of so many replicas with room, drawn at random.
    fn draw(&self, pool: &Pool, choices: usize, generator: &mut Generator) -> Option<ReplicaKey> {
        let len = pool.len();
        if len == 0 {
            return None;
        }
        let first = generator.random_range(0..len);
        // An odd step over the list gives other replicas each time; small lists are seen whole.
        let step = if len <= MOST_DRAWS {
            1
        } else {
            generator.random_range(1..len)
        };
        let mut best = None;
        let mut found = 0;
        for turn in 0..len.min(MOST_DRAWS) {
            let index = (first + turn * step) % len;
            let Some(&key) = pool.get_index(index) else {
                continue;
            };
            if !self.suits(key) {
                continue;
            }
            best = self.better(best, key);
            found += 1;
            if found == choices {
                break;
            }
        }
        best
    }

    fn better(&self, best: Option<ReplicaKey>, key: ReplicaKey) -> Option<ReplicaKey> {
        let Some(old) = best else {
            return Some(key);
        };
        (self.score(key) < self.score(old)).then_some(key).or(best)
    }

    fn score(&self, key: ReplicaKey) -> f32 {
        self.replicas
            .get(key)
            .map_or(f32::MAX, |replica| replica.score(self.now))
    }

    fn used(&self, key: ReplicaKey) -> f32 {
        self.replicas
            .get(key)
            .map_or(f32::MAX, |replica| replica.used(self.now))
    }

    /// Whether the replica has room and did not fail the request just now.
    fn suits(&self, key: ReplicaKey) -> bool {
        self.avoid != Some(key)
            && self
                .replicas
                .get(key)
                .is_some_and(|replica| replica.has_room(self.now))
    }
}
