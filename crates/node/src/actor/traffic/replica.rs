//! Replicas and their state, from the VM list and reclaim notices.

use std::net::SocketAddr;

use base::{Incarnation, Name};
use indexmap::IndexMap;
use kameo::message::{Context, Message};
use route::{Event, ReplicaKey, replica};

use super::{Order, Traffic};
use crate::hash;

/// Identity of a VM incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
}

impl Identity {
    /// Hash that is the same on every node.
    fn hash(&self) -> u64 {
        let digest = hash::stable(self.vm.as_str());
        digest ^ self.incarnation.0.rotate_left(17)
    }
}

/// A replica of an endpoint.
#[derive(Clone, Debug)]
pub struct Replica {
    /// VM incarnation on which it runs.
    pub identity: Identity,
    /// Endpoint that it serves.
    pub endpoint: Name,
    /// Availability zone.
    pub zone: Name,
    /// VM class.
    pub class: Name,
    /// Version that it runs.
    pub version: Name,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Key in the router, once the router knows its endpoint.
    pub key: Option<ReplicaKey>,
}

/// Complete list of current replicas; known replicas that are missing from it are gone.
#[derive(Clone, Debug)]
pub struct ReplicasListed {
    /// All replicas, live and leaving.
    pub replicas: Vec<Replica>,
}

impl Message<ReplicasListed> for Traffic {
    type Reply = ();

    async fn handle(&mut self, listed: ReplicasListed, _context: &mut Context<Self, Self::Reply>) {
        let mut removed = std::mem::take(&mut self.replicas);
        let mut replicas = IndexMap::with_capacity(listed.replicas.len());
        for mut replica in listed.replicas {
            if let Some(old) = removed.swap_remove(&replica.identity) {
                replica.key = old.key;
                // A replica never stops leaving within the same incarnation.
                replica.leaving |= old.leaving;
                if replica.leaving && !old.leaving {
                    self.mark_leaving(old.key);
                }
            }
            replicas.insert(replica.identity.clone(), replica);
        }
        self.replicas = replicas;
        for replica in removed.into_values() {
            self.remove(replica.key);
        }
        self.reconcile();
    }
}

/// Marks a VM's replica as leaving; it gets no new work.
#[derive(Clone, Debug)]
pub struct Leave {
    /// VM incarnation that is leaving.
    pub identity: Identity,
}

impl Message<Leave> for Traffic {
    type Reply = ();

    async fn handle(&mut self, leave: Leave, _context: &mut Context<Self, Self::Reply>) {
        let Some(replica) = self.replicas.get_mut(&leave.identity) else {
            return;
        };
        let newly_leaving = !replica.leaving;
        replica.leaving = true;
        let key = replica.key;
        if newly_leaving {
            self.mark_leaving(key);
        }
    }
}

impl Traffic {
    fn mark_leaving(&mut self, key: Option<ReplicaKey>) {
        let Some(replica) = key else { return };
        self.step(Event::ReplicaLeaving { replica });
        let dispatches = self
            .dispatches
            .iter()
            .filter(|(_id, active)| active.replica == replica);
        let orders: Vec<_> = dispatches.map(|(id, active)| (active.call, *id)).collect();
        for (call, dispatch) in orders {
            self.send_order(Some(call), Order::Leaving(dispatch));
        }
    }

    fn remove(&mut self, key: Option<ReplicaKey>) {
        if let Some(replica) = key {
            self.step(Event::ReplicaGone { replica });
            self.identities.swap_remove(&replica);
        }
    }

    /// Adds replicas to the router whose endpoint it has learned since they were listed.
    pub(super) fn reconcile(&mut self) {
        let missing: Vec<Identity> = self
            .replicas
            .values()
            .filter(|replica| replica.key.is_none() && !replica.leaving)
            .map(|replica| replica.identity.clone())
            .collect();
        for identity in missing {
            self.add(&identity);
        }
    }

    fn add(&mut self, identity: &Identity) {
        let Some(replica) = self.replicas.get(identity).cloned() else {
            return;
        };
        let Some(endpoint) = self.endpoints.get(&replica.endpoint).copied() else {
            return;
        };
        let spec = replica::Spec {
            endpoint,
            zone: self.router.zone_key(&replica.zone),
            version: self.router.version_key(&replica.version),
            capacity: self.capacity(&replica.endpoint),
            identity: identity.hash(),
        };
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        let key = self.router.add_replica(now, spec, &mut actions);
        if let Some(key) = key {
            self.identities.insert(key, identity.clone());
        }
        if let Some(replica) = self.replicas.get_mut(identity) {
            replica.key = key;
        }
        self.perform(now, &mut actions);
        self.actions = actions;
    }

    fn capacity(&self, endpoint: &Name) -> u32 {
        let endpoint = self
            .catalogue
            .as_ref()
            .and_then(|catalogue| catalogue.endpoint(endpoint.as_str()));
        endpoint.map_or(1, |endpoint| endpoint.limits.in_flight)
    }
}
