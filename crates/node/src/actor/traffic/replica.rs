//! Replicas as the VM list, notices and refused connections show them.

use std::net::SocketAddr;

use base::{Incarnation, Name};
use indexmap::IndexMap;
use kameo::message::{Context, Message};
use route::{Event, ReplicaKey, replica};

use super::{Order, Traffic};
use crate::hash;

/// One run of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Identity {
    /// The VM's name.
    pub vm: Name,
    /// Its run.
    pub incarnation: Incarnation,
}

impl Identity {
    /// A number that is the same on every node.
    fn number(&self) -> u64 {
        let digest = hash::stable(self.vm.as_str());
        digest ^ self.incarnation.0.rotate_left(17)
    }
}

/// A replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Which run of which VM it is.
    pub identity: Identity,
    /// The endpoint it serves.
    pub endpoint: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its VM class.
    pub class: Name,
    /// The version it runs.
    pub version: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its key in the router, once its endpoint is known there.
    pub key: Option<ReplicaKey>,
}

/// The replicas as they stand now; those that are missing are gone.
#[derive(Clone, Debug)]
pub struct Roster {
    /// All replicas, live and leaving.
    pub replicas: Vec<Replica>,
}

impl Message<Roster> for Traffic {
    type Reply = ();

    async fn handle(&mut self, roster: Roster, _context: &mut Context<Self, Self::Reply>) {
        let mut left = std::mem::take(&mut self.replicas);
        let mut kept = IndexMap::with_capacity(roster.replicas.len());
        for mut replica in roster.replicas {
            if let Some(old) = left.swap_remove(&replica.identity) {
                replica.key = old.key;
                // Marks only grow while the incarnation is the same.
                replica.leaving |= old.leaving;
                if replica.leaving && !old.leaving {
                    self.leave(old.key);
                }
            }
            kept.insert(replica.identity.clone(), replica);
        }
        self.replicas = kept;
        for gone in left.into_values() {
            self.remove(gone.key);
        }
        self.reconcile();
    }
}

/// The VM leaves: its replicas get no new work from now on.
#[derive(Clone, Debug)]
pub struct Leave {
    /// The VM's run.
    pub identity: Identity,
}

impl Message<Leave> for Traffic {
    type Reply = ();

    async fn handle(&mut self, leave: Leave, _context: &mut Context<Self, Self::Reply>) {
        let Some(replica) = self.replicas.get_mut(&leave.identity) else {
            return;
        };
        let first = !replica.leaving;
        replica.leaving = true;
        let key = replica.key;
        if first {
            self.leave(key);
        }
    }
}

impl Traffic {
    fn leave(&mut self, key: Option<ReplicaKey>) {
        let Some(replica) = key else { return };
        self.step(Event::ReplicaLeaving { replica });
        let flights = self
            .flights
            .iter()
            .filter(|(_id, flight)| flight.replica == replica);
        let orders: Vec<_> = flights.map(|(id, flight)| (flight.call, *id)).collect();
        for (call, dispatch) in orders {
            self.order(Some(call), Order::Leaving(dispatch));
        }
    }

    fn remove(&mut self, key: Option<ReplicaKey>) {
        if let Some(replica) = key {
            self.step(Event::ReplicaGone { replica });
            self.keys.swap_remove(&replica);
        }
    }

    /// Adds to the router the replicas whose endpoint it knows by now.
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
            identity: identity.number(),
        };
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        let key = self.router.add_replica(now, spec, &mut actions);
        if let Some(key) = key {
            self.keys.insert(key, identity.clone());
        }
        if let Some(known) = self.replicas.get_mut(identity) {
            known.key = key;
        }
        self.carry(now, &mut actions);
        self.actions = actions;
    }

    fn capacity(&self, endpoint: &Name) -> u32 {
        let limits = self
            .catalogue
            .as_ref()
            .and_then(|catalogue| catalogue.endpoint(endpoint.as_str()));
        limits.map_or(1, |endpoint| endpoint.limits.in_flight)
    }
}
