//! Replicas that fall over if they have to turn too many requests away.
//!
//! Load pattern: a burst at replicas that have said that they are brittle. Requests that find no room are turned away by them, and
//! each retry at the next replica adds to it, until they fall over one after the other.

use base::Millis;
use rand::RngExt;

use super::Pool;
use crate::ReplicaKey;
use crate::replica::{Brittleness, Replica};

/// Requests that all nodes together may have at a brittle replica, in multiples of its slots, if each uses its even part.
const OVERCOMMIT: usize = 2;
/// Bounds of the time for which a brittle replica is left out that has turned a request away.
const MIN_LEFT_OUT: Millis = Millis(250);
const MAX_LEFT_OUT: Millis = Millis(10_000);

impl Pool {
    /// Records how many requests a replica said that it can turn away in a second, or that it said nothing of it. Returns
    /// what it said before if that differs.
    pub fn record_brittleness(&mut self, replica: ReplicaKey, per_s: Option<u32>) -> Option<Option<u32>> {
        let replica = self.replicas.get_mut(replica)?;
        let said = per_s.map_or(Brittleness::Sound, Brittleness::Brittle);
        let before = match std::mem::replace(&mut replica.brittleness, said) {
            Brittleness::Brittle(per_s) => Some(per_s),
            Brittleness::Unknown | Brittleness::Sound => None,
        };
        self.brittleness = per_s;
        (before != per_s).then_some(before)
    }

    /// Records that a replica had no room for a request. Returns for how long it is left out, if it is brittle: such that all
    /// nodes together are turned away no more often than it bears.
    pub fn record_no_room(&mut self, now: Millis, replica: ReplicaKey) -> Option<Millis> {
        let known = self.replicas.get(replica)?;
        let per_s = self.brittleness_of(known)?;
        let mean_ms = 1_000.0 * self.group.nodes.max(1) as f64 / f64::from(per_s.max(1));
        // Otherwise the nodes would return at the same time.
        let spread: f64 = self.generator.random_range(0.75..1.25);
        let left_out = Millis((mean_ms * spread) as u64).clamp(MIN_LEFT_OUT, MAX_LEFT_OUT);
        Some(self.record_pause(now, replica, left_out))
    }

    /// What a replica said, or else the last one of its endpoint that answered.
    const fn brittleness_of(&self, replica: &Replica) -> Option<u32> {
        match replica.brittleness {
            Brittleness::Unknown => self.brittleness,
            Brittleness::Sound => None,
            Brittleness::Brittle(per_s) => Some(per_s),
        }
    }

    /// Whether a brittle replica is to have no further request; `None` if it is not brittle.
    pub(super) fn is_brittle_full(&self, now: Millis, replica: &Replica) -> Option<bool> {
        self.brittleness_of(replica)?;
        let slots = replica.spec.slots.max(1) as usize;
        let own_part = (slots * OVERCOMMIT / self.group.nodes.max(1)).max(1);
        Some(replica.in_flight >= own_part || replica.load(now) >= slots)
    }
}
