//! Rate limits and pauses that replicas ask for.

use base::{Millis, Seed};
use quota::Group;
use rand::RngExt;

use super::Pool;
use super::cost::Cost;
use crate::rate_limit::RateLimit;
use crate::{Demand, PeerLimit, Refusal, ReplicaKey};

/// Maximum time for which a replica is left out because it said so: one day.
const MAX_PAUSE: Millis = Millis(24 * 3_600 * 1_000);
/// Maximum time after which a caller should retry. By then other replicas may have started.
const MAX_RETRY_WAIT: Millis = Millis(60_000);

impl Pool {
    /// Records that a replica turned a request away and wants none from this node for this long. Returns how long it is
    /// left out.
    pub fn record_pause(&mut self, now: Millis, replica: ReplicaKey, pause: Millis) -> Millis {
        let pause = pause.min(MAX_PAUSE);
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.paused_until = replica.paused_until.max(now + pause);
        }
        pause
    }

    /// Sets the nodes that share the replicas' rate limits.
    pub const fn set_group(&mut self, group: Group) {
        self.group = group;
    }

    /// Records the rate limit that a replica named with an answer, in requests per second, or that it named none. Returns
    /// the previous one if it differs.
    pub fn record_rate_limit(
        &mut self,
        now: Millis,
        replica: ReplicaKey,
        per_s: Option<f64>,
    ) -> Option<Option<f64>> {
        let seed = Seed(self.generator.random());
        let replica = self.replicas.get_mut(replica)?;
        let before = current(replica.rate_limit.as_ref());
        if let Some(per_s) = per_s {
            replica
                .rate_limit
                .get_or_insert_with(|| RateLimit::new(now, seed, now, per_s));
        }
        if let Some(limit) = &mut replica.rate_limit {
            limit.record_answer(now, per_s);
        }
        (before != per_s).then_some(before)
    }

    /// Records what replicas said to another node, and what that node sent to them. Nothing is counted of the totals of a
    /// new node.
    pub fn record_peer_limits(&mut self, now: Millis, node: u64, is_new: bool, reports: &[PeerLimit]) {
        if reports.is_empty() {
            return;
        }
        for replica in self.replicas.values_mut() {
            let Some(report) = reports.iter().find(|it| it.replica == replica.hash) else {
                continue;
            };
            let at = now - report.age;
            // An earlier statement may be that of an earlier run of the replica.
            if let Some(per_s) = report.per_s.filter(|_| at >= replica.first_seen) {
                let seed = Seed(self.generator.random());
                replica
                    .rate_limit
                    .get_or_insert_with(|| RateLimit::new(now, seed, at, per_s));
            }
            if let Some(limit) = &mut replica.rate_limit {
                limit.record_report(now, node, is_new, report);
            }
        }
    }

    /// What this node knows of the replicas' rate limits, for the other nodes.
    pub fn rate_limits(&self, now: Millis) -> Vec<PeerLimit> {
        let replicas = self.ids.values().map(|key| &self.replicas[*key]);
        let report = |(limit, hash): (&RateLimit, u64)| limit.report(now, hash);
        replicas
            .filter_map(|replica| replica.rate_limit.as_ref().map(|limit| (limit, replica.hash)))
            .filter_map(report)
            .collect()
    }

    /// Whether the replica names no limit and wants no pause.
    pub(super) fn is_unlimited(&self, now: Millis, key: ReplicaKey) -> bool {
        let replica = &self.replicas[key];
        replica.paused_until <= now && current(replica.rate_limit.as_ref()).is_none()
    }

    /// Chooses a replica for a request whose cheapest replica is limited.
    ///
    /// Load pattern: many prompts with long shared parts, and some limited replicas. If a limited replica took any prompt
    /// that it has room for, it would process the shared parts of most anew. So it takes those whose home it is, and
    /// others only if all replicas are limited.
    pub(super) fn choose_limited(
        &mut self,
        now: Millis,
        mut free: Vec<ReplicaKey>,
        cheapest: (Cost, ReplicaKey),
        demand: &Demand<'_>,
    ) -> Result<(Cost, ReplicaKey), Refusal> {
        let home = self.home(now, &free, demand).preferred;
        let is_home = home.is_none_or(|home| home == cheapest.1);
        if is_home && self.limit_wait(now, cheapest.1) == Millis::ZERO {
            return Ok(cheapest);
        }
        let unlimited: Vec<ReplicaKey> = free
            .iter()
            .copied()
            .filter(|key| self.is_unlimited(now, *key))
            .collect();
        if let Some(choice) = self.cheapest(now, &unlimited, demand) {
            return Ok(choice);
        }
        let mut shortest = Millis::NEVER;
        while let Some((cost, key)) = self.cheapest(now, &free, demand) {
            let wait = self.limit_wait(now, key);
            if wait == Millis::ZERO {
                return Ok((cost, key));
            }
            shortest = shortest.min(wait);
            free.retain(|other| *other != key);
        }
        Err(Refusal::Limited(shortest.min(MAX_RETRY_WAIT)))
    }

    /// Time until a request may be sent to the replica that it would go to; zero if it may now.
    fn limit_wait(&mut self, now: Millis, key: ReplicaKey) -> Millis {
        let replica = &mut self.replicas[key];
        let pause = replica.paused_until.since(now);
        let limit = replica.rate_limit.as_mut().filter(|_| pause == Millis::ZERO);
        limit.map_or(pause, |limit| limit.wait_time(now, &self.group))
    }
}

fn current(limit: Option<&RateLimit>) -> Option<f64> {
    limit.and_then(RateLimit::limit).map(|(_, per_s)| per_s)
}
