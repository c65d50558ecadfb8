//! What this node can reach of the endpoint's replicas.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Millis;
use rand::RngExt;

use super::Pool;
use crate::replica::Replica;
use crate::{Demand, ReachChange, ReplicaKey, State};

/// Why a request of another node is not sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// This node can't reach the endpoint's replicas either.
    CutOff,
    /// The replica is not registered, or leaves.
    Gone,
    /// The replica's zone is evacuated.
    Evacuated,
    /// The replica wants no requests from this node for a while.
    Paused,
    /// This node can't connect to the replica.
    Unreachable,
}

/// A replica to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Id of the replica.
    pub id: Arc<str>,
    /// Hash of the replica's id and start, the same at all nodes.
    pub incarnation_hash: u64,
    /// Address of the replica.
    pub address: SocketAddr,
}

impl Pool {
    /// Records whether a replica could be connected to.
    pub fn record_connect(
        &mut self,
        now: Millis,
        replica: ReplicaKey,
        is_connected: bool,
    ) -> Option<ReachChange> {
        let is_in_use = |it: &Replica| self.ids.get(&it.spec.id) == Some(&replica) && !it.is_evacuated;
        if !self.replicas.get(replica).is_some_and(is_in_use) {
            return None;
        }
        let replicas = self.ready_replicas().len();
        if is_connected {
            return self.reach.record_connection(now, replica, replicas);
        }
        let change = self.reach.record_failure(now, replica, replicas);
        if change.is_some() {
            // Connections that failed or broke as the node was cut off say nothing of the replicas.
            for replica in self.replicas.values_mut() {
                replica.health.readmit();
            }
        }
        change
    }

    /// Whether requests are sent to a replica from this node, and not through another one.
    pub fn is_direct(&self, replica: ReplicaKey) -> bool {
        self.reach.is_direct(replica)
    }

    /// Whether a request would meet a failed connection again: this node is cut off, could not connect to the replica since, and no other
    /// node reaches it.
    ///
    /// Load pattern: most entries of an endpoint name addresses where nothing listens. All nodes count as cut off, as a node does that
    /// has lost its links, and what failed says nothing of the replica's health.
    pub(super) fn is_unreachable(&self, replica: ReplicaKey, demand: &Demand<'_>) -> bool {
        self.is_cut_off() && !demand.has_detour && self.reach.has_failed(replica)
    }

    /// Whether this node reaches no replica, or too few.
    pub const fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off()
    }

    /// Whether this node failed to connect to every ready replica since it last connected to any.
    pub fn is_all_unreachable(&self) -> bool {
        let ready = self.ready_replicas();
        !ready.is_empty() && ready.iter().all(|key| self.reach.has_failed(*key))
    }

    /// When this node was cut off from the replicas; `None` if it is not.
    pub const fn cut_off_since(&self) -> Option<Millis> {
        self.reach.cut_off_since()
    }

    /// The replicas to connect to now, to find out whether any can be reached. Those that have not failed come first.
    /// `suspected_since` is when the node was last cut off from another endpoint.
    ///
    /// Load pattern: a node is cut off from the replicas of all endpoints, some of which have few requests. Each would lose the
    /// requests by which the node finds out.
    pub fn take_probes(&mut self, now: Millis, suspected_since: Option<Millis>) -> Vec<Destination> {
        let waiting = self.dispatches.values().filter(|it| !it.answer_began);
        let waiting_since = waiting.map(|it| it.sent_at).min();
        let count = self.reach.take_probes(now, waiting_since, suspected_since);
        if count == 0 {
            return Vec::new();
        }
        let mut ready = self.ready_replicas();
        if !ready.is_empty() {
            let start = self.generator.random_range(0..ready.len());
            ready.rotate_left(start);
        }
        let is_reached = |key: &ReplicaKey| self.is_cut_off() && self.reach.is_direct(*key);
        ready.sort_by_key(|key| (is_reached(key), self.reach.has_failed(*key)));
        let probe = |key: ReplicaKey| {
            let Replica {
                spec,
                incarnation_hash,
                ..
            } = &self.replicas[key];
            Destination {
                replica: key,
                id: Arc::clone(&spec.id),
                incarnation_hash: *incarnation_hash,
                address: spec.address,
            }
        };
        ready.into_iter().take(count).map(probe).collect()
    }

    /// The replica with this id, if a request of another node may be sent to it from here.
    pub fn forward_target(&self, now: Millis, id: &str) -> Result<Destination, ForwardError> {
        if self.is_cut_off() {
            return Err(ForwardError::CutOff);
        }
        let key = self.ids.get(id).copied().ok_or(ForwardError::Gone)?;
        let replica = &self.replicas[key];
        if replica.spec.state != State::Ready || replica.is_leaving {
            return Err(ForwardError::Gone);
        }
        if replica.is_evacuated {
            return Err(ForwardError::Evacuated);
        }
        if now < replica.paused_until {
            return Err(ForwardError::Paused);
        }
        if replica.health.is_unreachable(now) {
            return Err(ForwardError::Unreachable);
        }
        Ok(Destination {
            replica: key,
            id: Arc::clone(&replica.spec.id),
            incarnation_hash: replica.incarnation_hash,
            address: replica.spec.address,
        })
    }

    /// Records that a replica could not be connected to for a request of another node.
    pub fn record_unreachable(&mut self, now: Millis, replica: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.health.record_unreachable(now);
        }
    }

    fn ready_replicas(&self) -> Vec<ReplicaKey> {
        let is_ready = |key: &ReplicaKey| {
            let replica = &self.replicas[*key];
            replica.spec.state == State::Ready && !replica.is_leaving && !replica.is_evacuated
        };
        self.ids.values().copied().filter(is_ready).collect()
    }
}
