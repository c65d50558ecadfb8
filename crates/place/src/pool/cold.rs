//! Requests to cold replicas.
//!
//! Load pattern: the replicas of a zone start together, or come back after the zone was evacuated. Each falls over if all nodes
//! send it their usual requests at once, and its share then falls on the others. Until they are warm they receive what they
//! bear, and the prompts that prefer them go to others.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;

use super::Pool;
use crate::cold::ColdShare;
use crate::replica::Replica;
use crate::{Demand, Refusal, ReplicaKey, Senders};

/// Maximum time after which a caller should retry whose request only cold replicas could take.
const MAX_RETRY_WAIT: Millis = Millis(5_000);

impl Pool {
    /// Replaces the nodes that send to cold replicas.
    pub fn set_senders(&mut self, senders: &Arc<Senders>) {
        let is_same = self.senders.is_same(senders);
        self.senders = Arc::clone(senders);
        if !is_same {
            self.update_cold_share();
        }
    }

    /// Records for how long a replica says that it is cold. A statement that may be older than what is known only prolongs it.
    /// Returns whether it is cold now and was not before.
    pub fn record_cold(&mut self, now: Millis, id: &str, remaining: Millis, is_latest: bool) -> bool {
        let Some(key) = self.ids.get(id).copied() else {
            return false;
        };
        let was_cold = self.is_cold(now, key);
        self.replicas[key].cold.record(now, remaining, is_latest);
        self.is_cold(now, key) && !was_cold
    }

    /// Whether a replica counts as cold.
    pub fn is_cold(&self, now: Millis, replica: ReplicaKey) -> bool {
        self.replicas
            .get(replica)
            .is_some_and(|it| self.cold_left(now, it) > Millis::ZERO)
    }

    /// Time for which the replica with this id is still cold.
    pub fn cold_left_of(&self, now: Millis, id: &str) -> Millis {
        let key = self.ids.get(id);
        key.map_or(Millis::ZERO, |key| self.cold_left(now, &self.replicas[*key]))
    }

    /// Number of cold replicas of each zone that has replicas.
    pub fn cold_replicas(&self, now: Millis) -> IndexMap<Arc<str>, usize> {
        let mut counts: IndexMap<Arc<str>, usize> = IndexMap::new();
        for replica in self.ids.values().map(|key| &self.replicas[*key]) {
            let count = counts.entry(Arc::clone(&replica.spec.zone)).or_default();
            *count += usize::from(self.cold_left(now, replica) > Millis::ZERO);
        }
        counts
    }

    /// Computes this node's part of the cold replicas' rate again.
    pub(super) fn update_cold_share(&mut self) {
        let nodes = self.senders.len();
        self.cold_share = self.settings.cold.map(|cold| cold.share(nodes));
        let keys: Vec<ReplicaKey> = self.replicas.keys().collect();
        for key in keys {
            self.update_sender(key);
        }
    }

    /// Finds out whether this node is one of those that send to a replica while it is cold.
    pub(super) fn update_sender(&mut self, key: ReplicaKey) {
        let Some(ColdShare { senders, .. }) = self.cold_share else {
            return;
        };
        let replica = &mut self.replicas[key];
        replica.cold.is_sender = self.senders.includes_own(replica.hash, senders);
    }

    /// Whether a cold replica is to have no request from this node now.
    pub(super) fn is_cold_full(&self, now: Millis, replica: &Replica) -> bool {
        self.cold_wait(now, replica) > Millis::ZERO
    }

    /// Why none of the replicas that accept a request is free.
    pub(super) fn no_free(&self, now: Millis, candidates: &[ReplicaKey], demand: &Demand<'_>) -> Refusal {
        let replicas = candidates.iter().map(|key| &self.replicas[*key]);
        let only_cold = replicas.filter(|it| self.is_cold_full(now, it) && !self.is_busy(now, it));
        let wait = only_cold.map(|it| self.cold_wait(now, it)).min();
        match wait {
            Some(wait) => Refusal::Cold(wait.min(MAX_RETRY_WAIT)),
            None => Refusal::Full(self.retry_wait(now, demand)),
        }
    }

    /// Time until this node may send a request to a replica as far as that is cold. To a replica to which only others send, it
    /// may once that is warm; a caller's next attempt may reach one of these earlier.
    fn cold_wait(&self, now: Millis, replica: &Replica) -> Millis {
        let left = self.cold_left(now, replica);
        let Some(share) = self.cold_share.filter(|_| left > Millis::ZERO) else {
            return Millis::ZERO;
        };
        let wait = replica
            .cold
            .wait(now, share)
            .filter(|_| self.senders.is_valid(now));
        wait.unwrap_or(share.interval.max(Millis(1))).min(left)
    }

    /// Time for which a replica is still cold; zero where the configuration says nothing of cold replicas.
    fn cold_left(&self, now: Millis, replica: &Replica) -> Millis {
        let cold = self.settings.cold;
        cold.map_or(Millis::ZERO, |cold| replica.cold.until(cold.start).since(now))
    }
}
