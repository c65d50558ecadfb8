//! The preferred replica of a prompt, its home, and what it has cached.

use base::Millis;

use super::Pool;
use crate::pace::{STEPS, Standing, factor, index};
use crate::replica::Replica;
use crate::{CacheBasis, Demand, ReplicaKey, rendezvous};

/// Time after which the requests of all nodes have filled a replica's cache.
const CACHE_WARM_AFTER: Millis = Millis(8_000);
/// Time after which the requests of all nodes have made the new home of a prompt cache its shared parts. In between, a node counts
/// the parts of each prompt that it has not sent there itself as not cached, so a longer time takes queues for longer than they are.
const HOME_WARM_AFTER: Millis = Millis(4_000);
/// Age from which on a replica is the home of the first prompts whose former home lives.
const ESTABLISHED_AFTER: Millis = Millis(15_000);
/// Time over which the others follow. If they came at once, the replica would read all of them at once.
const ESTABLISHED_SPREAD: u64 = 15_000;
/// Two to the power of 64, the number of hash values.
const HASHES: f64 = 18_446_744_073_709_551_616.0;

/// The replicas that a prompt prefers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Home {
    /// The home, which has the shared parts cached or is the one to cache them.
    pub preferred: Option<ReplicaKey>,
    /// A young replica that will be the home. It takes a prompt if reading all of it there takes no longer than waiting at the home.
    pub next: Option<ReplicaKey>,
}

impl Home {
    /// Whether the parts that the replica reads for a prompt also serve the requests of other nodes.
    pub fn includes(self, key: ReplicaKey) -> bool {
        self.preferred == Some(key) || self.next == Some(key)
    }
}

/// The first replica by weighted rendezvous hashing. Within a step, the one with the highest hash comes first, so only the first ones of
/// the steps are weighed against each other.
#[derive(Clone, Copy, Debug, Default)]
struct First([Option<(u64, ReplicaKey)>; STEPS]);

impl First {
    fn add(&mut self, step: i8, weight: u64, key: ReplicaKey) {
        let best = &mut self.0[index(step)];
        if best.is_none_or(|(other, _)| weight >= other) {
            *best = Some((weight, key));
        }
    }

    fn get(&self) -> Option<ReplicaKey> {
        let distance = |step: usize, weight: u64| -((weight as f64 + 1.0) / HASHES).ln() / factor(step);
        let firsts = self.0.iter().enumerate();
        firsts
            .filter_map(|(step, best)| best.map(|(weight, key)| (distance(step, weight), key)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, key)| key)
    }
}

impl Pool {
    /// Returns the home replica of a prompt, to which every node prefers to send prompts with the same shared parts. Of replicas whose
    /// speed is known, fast ones are the home of more prompts.
    ///
    /// Load pattern: replicas come and go by zones. Each new one would be the home of its part of all prompts at once, and read the shared
    /// parts of each, which other living replicas have cached. So a young replica is the home only of prompts whose home was lost.
    pub(super) fn home(&self, now: Millis, free: &[ReplicaKey], demand: &Demand<'_>) -> Home {
        let Some(prefix) = demand.shared().last().map(|part| part.id) else {
            return Home::default();
        };
        if !self.learned.is_active() {
            let weight = |key: &&ReplicaKey| rendezvous::weight(prefix, self.replicas[**key].hash);
            return Home {
                preferred: free.iter().max_by_key(weight).copied(),
                next: None,
            };
        }
        let is_kept = self.is_kept(now, prefix, Millis::ZERO);
        let (mut all, mut preferred) = (First::default(), First::default());
        for key in free {
            let replica = &self.replicas[*key];
            let weight = rendezvous::weight(prefix, replica.hash);
            let step = replica.pace.share.step();
            all.add(step, weight, *key);
            if !is_kept || self.is_established(now, replica, prefix) {
                preferred.add(step, weight, *key);
            }
        }
        let first = all.get();
        let preferred = preferred.get().or(first);
        Home {
            preferred,
            next: first.filter(|_| first != preferred),
        }
    }

    /// Whether the home that a prompt had this long ago, of the replicas that were established then, was present.
    fn is_kept(&self, now: Millis, prefix: u64, ago: Millis) -> bool {
        let mut first = First::default();
        for (key, replica) in &self.replicas {
            let standing = self.standing(now, replica, ago);
            if standing != Standing::Absent && self.is_established(now - ago, replica, prefix) {
                let step = replica.pace.share.step_before(now, ago);
                first.add(step, rendezvous::weight(prefix, replica.hash), key);
            }
        }
        let home = first.get();
        home.is_some_and(|key| self.standing(now, &self.replicas[key], ago) == Standing::Present)
    }

    /// Whether a replica was old enough then to be the home of a prompt that another living one has cached.
    fn is_established(&self, then: Millis, replica: &Replica, prefix: u64) -> bool {
        let spread = Millis(rendezvous::weight(prefix, 0) % ESTABLISHED_SPREAD);
        self.age(then, replica) >= ESTABLISHED_AFTER + spread
    }

    fn standing(&self, now: Millis, replica: &Replica, ago: Millis) -> Standing {
        let presence = replica.pace.presence;
        presence.standing(now, self.learned.looked_at(), ago)
    }

    /// Returns whether enough time has passed to assume that requests of other nodes have made the home replica cache
    /// the shared parts of its prompts.
    pub(super) fn is_warm(&self, now: Millis, key: ReplicaKey, demand: &Demand<'_>) -> bool {
        let is_past_warmup = |since: Millis| now.since(since) > CACHE_WARM_AFTER;
        let first_seen = self.replicas[key].first_seen;
        self.first_sent_at.is_some_and(is_past_warmup)
            && is_past_warmup(first_seen)
            && (!self.learned.is_active() || self.was_home(now, key, demand))
    }

    /// Whether a replica was the home of a prompt some time ago, however full the replicas were then.
    fn was_home(&self, now: Millis, key: ReplicaKey, demand: &Demand<'_>) -> bool {
        let Some(prefix) = demand.shared().last().map(|part| part.id) else {
            return true;
        };
        let ago = HOME_WARM_AFTER;
        let is_kept = self.is_kept(now, prefix, ago);
        let mut first = First::default();
        for (key, replica) in &self.replicas {
            let is_present = self.standing(now, replica, ago) == Standing::Present;
            if is_present && (!is_kept || self.is_established(now - ago, replica, prefix)) {
                let step = replica.pace.share.step_before(now, ago);
                first.add(step, rendezvous::weight(prefix, replica.hash), key);
            }
        }
        first.get() == Some(key)
    }

    /// Why shared parts are taken for cached, and their tokens; `uncached` are those that are not.
    pub(super) fn expected_cached(
        &self,
        now: Millis,
        replica: &Replica,
        is_home: bool,
        uncached: u32,
        demand: &Demand<'_>,
    ) -> Option<(CacheBasis, u32)> {
        let cached = (demand.shared_tokens() as u32).saturating_sub(uncached);
        if cached == 0 || !self.learned.is_active() {
            return None;
        }
        let basis = match replica.sent_before(now, demand.shared()) {
            Some(age) if !is_home || age < HOME_WARM_AFTER => CacheBasis::sent_before(age),
            _ => CacheBasis::Home,
        };
        Some((basis, cached))
    }

    /// Tokens that a replica is expected to have evicted of those that are taken for cached.
    pub(super) fn evicted(&self, cached: Option<(CacheBasis, u32)>) -> u32 {
        cached.map_or(0, |(basis, tokens)| {
            (f64::from(tokens) * (1.0 - self.learned.hits().rate(basis))) as u32
        })
    }
}
