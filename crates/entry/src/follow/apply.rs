//! Takes records of the store into the view and the pools.

use std::sync::Arc;

use base::{Incarnation, Millis};
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use place::{Spec, State};
use store::{Change, Listing};
use table::Table;

use super::missing::Missing;
use crate::Shared;
use crate::edge::{Item, Move};
use crate::view::{Own, Peer, Record};

/// Start of the keys of nodes' registrations, behind the own prefix.
pub const NODES: &str = "nodes/";
/// Start of the keys of moves' records, behind the own prefix.
pub const MOVES: &str = "moves/";

/// What a key stands for, so that its removal can be taken in.
#[derive(Clone, Debug)]
enum Known {
    Replica { endpoint: Arc<str>, id: Arc<str> },
    Node(Incarnation),
    Move(Arc<str>),
    Own(String),
    Other,
}

/// Applies listings and changes.
#[derive(Debug)]
pub(super) struct Applier {
    shared: Arc<Shared>,
    known: IndexMap<String, Known>,
    missing: Missing,
}

impl Applier {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            known: IndexMap::new(),
            missing: Missing::default(),
        }
    }

    /// Takes in a whole listing; what is not in it has vanished.
    pub fn replace(&mut self, listing: &Listing) {
        let present: IndexSet<&str> = listing.entries.iter().map(|it| it.key.as_str()).collect();
        let vanished: Vec<String> = self
            .known
            .keys()
            .filter(|key| !present.contains(key.as_str()))
            .cloned()
            .collect();
        for key in vanished {
            self.vanish(&key);
        }
        for entry in &listing.entries {
            self.put(&entry.key, &entry.value, entry.revision);
        }
    }

    /// Takes in one change.
    pub fn change(&mut self, change: &Change) {
        match &change.value {
            Some(value) if !change.deleted => self.put(&change.key, value, change.revision),
            _ => self.vanish(&change.key),
        }
    }

    /// The store answers again after an outage.
    pub fn store_regained(&mut self, now: Millis) {
        self.missing.store_regained(now);
    }

    /// Forgets those that did not come back after an outage.
    pub fn expire(&mut self) {
        for key in self.missing.expired(self.shared.now()) {
            self.forget(&key, "missing after an outage of the store");
        }
    }

    fn put(&mut self, key: &str, value: &Bytes, revision: u64) {
        self.missing.present(key);
        let known = match self.shared.edge.item(key, value) {
            Item::Table(table) => self.put_table(&table),
            Item::Replica(spec) => self.put_replica(key, spec),
            Item::BadReplica { id, cause } => {
                log::warn!(replica:% = id, revision, cause:% = cause; "unusable registration of a replica");
                self.forget(key, "registration can't be used");
                Known::Other
            }
            Item::Move(order) => self.put_move(order, revision),
            Item::Own(rest) => self.put_own(rest, value, revision),
            Item::Bad(cause) => {
                log::warn!(key, revision, cause:% = cause; "unreadable record");
                return;
            }
            Item::Other => Known::Other,
        };
        self.known.insert(key.to_owned(), known);
    }

    fn put_table(&self, table: &Arc<Table>) -> Known {
        let mut view = self.shared.view();
        let before = view.table.as_ref().map(|it| it.version());
        // NB: a listing that was answered late may bring an older version.
        if before.is_some_and(|before| before >= table.version()) {
            return Known::Other;
        }
        log::info!(version = table.version(), before = before.unwrap_or(0), routes = table.routes().len(); "configuration in force");
        metrics::gauge!("bilberrylatch_configuration_version").set(table.version() as f64);
        view.table = Some(Arc::clone(table));
        let nodes = view.nodes();
        drop(view);
        self.shared.fit_pools(table, nodes);
        Known::Other
    }

    fn put_replica(&self, key: &str, spec: Spec) -> Known {
        let (endpoint, id) = (Arc::clone(&spec.endpoint), Arc::clone(&spec.id));
        if let Some(Known::Replica { endpoint: before, .. }) = self.known.get(key)
            && *before != endpoint
        {
            self.shared.with_pool(before, |pool| pool.remove(&id));
        }
        let now = self.shared.now();
        self.shared.with_pool(&endpoint, |pool| {
            let before = pool.specs().find(|it| it.id == id).map(|it| it.state);
            if before != Some(spec.state) {
                let state = match spec.state {
                    State::Ready => "ready",
                    State::Draining => "draining",
                };
                log::info!(replica:% = id, endpoint:% = endpoint, zone:% = spec.zone, version:% = spec.version,
                    reclaimable = spec.reclaimable, state; "replica changed");
            }
            pool.register(now, spec);
        });
        Known::Replica { endpoint, id }
    }

    fn put_move(&self, order: Move, revision: u64) -> Known {
        let endpoint = Arc::clone(&order.endpoint);
        let mut view = self.shared.view();
        let before = view.moves.orders.get(&endpoint).map(|(_, revision)| *revision);
        if before != Some(revision) {
            log::info!(endpoint:% = endpoint, target:% = order.target, within_ms = order.within.0, revision; "move ordered");
        }
        view.moves.orders.insert(Arc::clone(&endpoint), (order, revision));
        Known::Move(endpoint)
    }

    fn put_own(&self, rest: String, value: &Bytes, revision: u64) -> Known {
        if let Some(name) = rest.strip_prefix(NODES) {
            return self.put_node(name, value);
        }
        let mut view = self.shared.view();
        if let Some(endpoint) = rest.strip_prefix(MOVES) {
            match serde_json::from_slice::<Record>(value) {
                Ok(record) => {
                    log::info!(endpoint, target:% = record.target, stage:? = record.stage, share = record.share,
                        reason:% = record.reason, revision; "move changed");
                    view.moves.records.insert(Arc::from(endpoint), record);
                }
                Err(error) => log::warn!(endpoint, revision, cause:% = error; "unreadable record of a move"),
            }
        }
        view.own.insert(
            rest.clone(),
            Own {
                value: value.clone(),
                revision,
            },
        );
        Known::Own(rest)
    }

    fn put_node(&self, name: &str, value: &Bytes) -> Known {
        let decoded = name
            .parse::<Incarnation>()
            .ok()
            .zip(serde_json::from_slice::<Peer>(value).ok());
        let Some((incarnation, peer)) = decoded else {
            log::warn!(node = name; "unreadable registration of a node");
            return Known::Other;
        };
        let mut view = self.shared.view();
        let before = view.peers.get(&incarnation).map(|it| it.ready);
        if before != Some(peer.ready) {
            log::info!(node = peer.name, incarnation:% = incarnation, ready = peer.ready; "node changed");
        }
        view.peers.insert(incarnation, peer);
        drop(view);
        self.fit();
        Known::Node(incarnation)
    }

    fn vanish(&mut self, key: &str) {
        let now = self.shared.now();
        if self.missing.vanished(now, key) {
            self.forget(key, "registration gone");
        }
    }

    fn forget(&mut self, key: &str, reason: &str) {
        match self.known.swap_remove(key) {
            Some(Known::Replica { endpoint, id }) => {
                log::info!(replica:% = id, endpoint:% = endpoint, reason; "replica gone");
                self.shared.with_pool(&endpoint, |pool| pool.remove(&id));
            }
            Some(Known::Node(incarnation)) => {
                log::info!(incarnation:% = incarnation, reason; "node gone");
                self.shared.view().peers.swap_remove(&incarnation);
                self.fit();
            }
            Some(Known::Move(endpoint)) => {
                self.shared.view().moves.orders.swap_remove(&endpoint);
            }
            Some(Known::Own(rest)) => {
                let mut view = self.shared.view();
                view.own.swap_remove(&rest);
                if let Some(endpoint) = rest.strip_prefix(MOVES) {
                    view.moves.records.swap_remove(endpoint);
                }
            }
            Some(Known::Other) | None => {}
        }
    }

    /// Fits the pools to the number of nodes.
    fn fit(&self) {
        let view = self.shared.view();
        let (table, nodes) = (view.table.clone(), view.nodes());
        drop(view);
        if let Some(table) = table {
            self.shared.fit_pools(&table, nodes);
        }
    }
}
