//! Applies records of the store to the view and the replica pools.

use std::sync::Arc;

use base::{Incarnation, Millis, Revision};
use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use place::{Spec, State};
use relay::{Change, Deletions, Evacuations};
use store::{Listing, listing};
use table::Table;

use super::lost_orders::LostOrders;
use super::withheld::Withheld;
use crate::Shared;
use crate::blocks::BLOCKS_PREFIX;
use crate::edge::{RolloutOrder, StoredRecord};
use crate::publish::{REPORTS_PREFIX, Summary};
use crate::view::{InternalRecord, Peer, Rollout, View};

/// Key prefix of the nodes' registrations, after the internal prefix.
pub const NODES_PREFIX: &str = "nodes/";
/// Key prefix of the rollout records, after the internal prefix.
pub const ROLLOUTS_PREFIX: &str = "moves/";

/// Time for which a removed replica is remembered, at least the age of the copies that the store is restored from.
const REMOVAL_MEMORY: Millis = Millis(60_000);
/// Renewal intervals after which the store has removed the registration of a replica that does not renew it.
const EXPIRY_INTERVALS: u64 = 4;

/// What the record of a key describes, needed to apply its deletion.
#[derive(Clone, Debug)]
pub(super) enum RecordKind {
    Replica {
        endpoint: Arc<str>,
        id: Arc<str>,
        revision: Revision,
    },
    Node(Incarnation),
    RolloutOrder(Arc<str>),
    Evacuation(Arc<str>),
    Reports(String),
    Internal(String),
    Other,
}

/// Applies listings and changes.
#[derive(Debug)]
pub(super) struct Applier {
    pub(super) shared: Arc<Shared>,
    pub(super) known: IndexMap<String, RecordKind>,
    deletions: Deletions,
    pub(super) evacuations: Evacuations,
    /// Keys of replicas that were removed lately, and when.
    removed: IndexMap<String, Millis>,
    withheld: Withheld,
    /// Whether the first listing is being applied: replicas that are new to the node by it may be there for long.
    pub(super) is_first_listing: bool,
    lost_orders: LostOrders,
}

impl Applier {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            known: IndexMap::new(),
            deletions: Deletions::default(),
            evacuations: Evacuations::default(),
            removed: IndexMap::new(),
            withheld: Withheld::default(),
            is_first_listing: false,
            lost_orders: LostOrders::default(),
        }
    }

    /// Applies a full listing. Known records that are not in it were deleted.
    pub fn apply_listing(&mut self, listing: &Listing) {
        self.is_first_listing = self.known.is_empty();
        let present: IndexSet<&str> = listing.entries.iter().map(|it| it.key.as_str()).collect();
        let deleted: Vec<String> = self
            .known
            .keys()
            .filter(|key| !present.contains(key.as_str()))
            .cloned()
            .collect();
        for key in deleted {
            self.handle_deletion(&key, listing.revision);
        }
        for entry in &listing.entries {
            if !self.withheld.contains(&entry.key, entry.revision) {
                self.put(&entry.key, &entry.value, entry.revision);
            }
        }
        self.is_first_listing = false;
        // The orders come before the replicas in a listing.
        let ordered: Vec<Arc<str>> = self.shared.view().rollouts.orders.keys().cloned().collect();
        for endpoint in &ordered {
            self.note_only_version(endpoint);
        }
    }

    /// Withholds the records of a restored store that say that a replica is ready which has left or begun to leave since
    /// the copy was taken. A live replica writes its record again.
    pub fn withhold_outdated(&mut self, listing: &Listing) {
        let now = self.shared.now();
        self.forget_removals(now);
        self.lost_orders.remember(now, &self.shared.view().rollouts);
        self.withheld.clear();
        let settings = self.shared.settings();
        let until = now + Millis(settings.replica_heartbeat.0 * EXPIRY_INTERVALS);
        for entry in &listing.entries {
            let StoredRecord::Replica(spec) = self.shared.edge.decode_record(&entry.key, &entry.value) else {
                continue;
            };
            let is_outdated = self.removed.contains_key(&entry.key)
                || (spec.state == State::Ready && self.is_draining(&spec));
            if is_outdated {
                log::info!(replica:% = spec.id, endpoint:% = spec.endpoint, until_ms = until.since(now).0;
                    "restored registration withheld");
                self.withheld.insert(entry.clone(), until);
            }
        }
        self.shared.notify_deletions_changed();
    }

    fn forget_removals(&mut self, now: Millis) {
        self.removed.retain(|_, at| now.since(*at) < REMOVAL_MEMORY);
    }

    /// Whether the same incarnation of the replica is known to be draining.
    fn is_draining(&self, spec: &Spec) -> bool {
        self.shared.with_pool(&spec.endpoint, |pool| {
            let known = pool.specs().find(|it| it.id == spec.id);
            known.is_some_and(|it| it.state == State::Draining && it.started_unix_ms == spec.started_unix_ms)
        })
    }

    /// The changes from the records known at `revision` to a listing, in revision order.
    ///
    /// A page of the listing may be later than its revision. Those changes are left to the next watch.
    pub fn changes_since(&self, revision: Revision, listing: &Listing) -> Vec<Change> {
        let present: IndexSet<&str> = listing.entries.iter().map(|it| it.key.as_str()).collect();
        let is_new = |it: &&listing::Entry| it.revision > revision && it.revision <= listing.revision;
        let written = listing.entries.iter().filter(is_new).map(|entry| Change {
            key: entry.key.clone(),
            revision: entry.revision,
            value: Some(entry.value.clone()),
        });
        let mut changes: Vec<Change> = written.collect();
        changes.sort_by_key(|change| change.revision);
        let deleted = self.known.keys().filter(|key| !present.contains(key.as_str()));
        changes.extend(deleted.map(|key| Change {
            key: key.clone(),
            revision: listing.revision,
            value: None,
        }));
        changes
    }

    /// Applies a change.
    pub fn apply_change(&mut self, change: &Change) {
        match &change.value {
            Some(value) => self.put(&change.key, value, change.revision),
            None => self.handle_deletion(&change.key, change.revision),
        }
    }

    /// Removes the records that did not reappear after an outage, and applies the withheld ones that the store still has.
    /// Returns when the next of them is due.
    pub fn apply_due(&mut self) -> Option<Millis> {
        let now = self.shared.now();
        let up_since = self.shared.availability().up_since();
        let missing = self.deletions.take_due(now, up_since);
        if !missing.is_empty() {
            log::warn!(records = missing.len(), era = self.shared.store.era(); "records did not reappear");
        }
        for key in missing {
            self.forget(&key, "did not reappear after a store outage");
        }
        self.end_due_evacuations(now);
        for entry in self.withheld.take_due(now) {
            self.put(&entry.key, &entry.value, entry.revision);
        }
        let next_deletion = self.deletions.next_due(up_since);
        [
            next_deletion,
            self.withheld.next_due(),
            self.evacuations.next_due(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn put(&mut self, key: &str, value: &Bytes, revision: Revision) {
        self.deletions.cancel(key);
        self.withheld.remove(key);
        self.removed.swap_remove(key);
        let known = match self.shared.edge.decode_record(key, value) {
            StoredRecord::Table(table) => self.put_configuration(&table),
            StoredRecord::Replica(spec) => self.put_replica(key, spec, revision),
            StoredRecord::InvalidReplica { id, cause } => {
                log::warn!(replica:% = id, revision = revision.number, cause:% = cause; "unusable registration of a replica");
                self.forget(key, "invalid registration");
                RecordKind::Other
            }
            StoredRecord::RolloutOrder(order) => self.put_rollout_order(order, revision),
            StoredRecord::Internal(rest) => self.put_internal(rest, value, revision),
            StoredRecord::Invalid(cause) => {
                log::warn!(key, revision = revision.number, cause:% = cause; "invalid record");
                return;
            }
            StoredRecord::Evacuation(zone) => self.put_evacuation(zone, revision),
            StoredRecord::Other => RecordKind::Other,
        };
        self.known.insert(key.to_owned(), known);
    }

    fn put_configuration(&self, table: &Arc<Table>) -> RecordKind {
        let mut view = self.shared.view();
        let before = view.table.as_ref().map(|it| it.version());
        // A listing whose response is late may contain an older version.
        if before.is_some_and(|before| before >= table.version()) {
            return RecordKind::Other;
        }
        log::info!(version = table.version(), before = before.unwrap_or(0), routes = table.routes().len(); "configuration in force");
        metrics::gauge!("bilberrylatch_configuration_version").set(table.version() as f64);
        view.table = Some(Arc::clone(table));
        let nodes = view.nodes();
        drop(view);
        self.shared.configure_pools(table, nodes);
        self.report_unknown_regions(table);
        RecordKind::Other
    }

    fn put_rollout_order(&self, order: RolloutOrder, revision: Revision) -> RecordKind {
        let endpoint = Arc::clone(&order.endpoint);
        let now = self.shared.now();
        let mut view = self.shared.view();
        let known = view.rollouts.orders.get(&endpoint).cloned();
        let before = known.as_ref().map(|(_, number)| *number);
        let lost = self.lost_orders.find(now, &order);
        if before != Some(revision.number) {
            log::info!(endpoint:% = endpoint, target:% = order.target, within_ms = order.within.0,
                revision = revision.number, is_written_again = lost.is_some(); "move ordered");
        }
        let renumbered = lost.map(|lost| match known {
            Some((known, number)) if known == order => {
                view.rollouts.renumber(&endpoint, number, revision.number);
                number
            }
            Some(_) | None => {
                let record = lost.record.as_ref();
                view.rollouts
                    .resume(&endpoint, record, lost.is_vetoed, revision.number);
                lost.revision
            }
        });
        view.rollouts
            .orders
            .insert(Arc::clone(&endpoint), (order, revision.number));
        drop(view);
        if let Some(before) = renumbered {
            self.shared
                .renumber_comparison(&endpoint, before, revision.number);
        }
        self.note_only_version(&endpoint);
        RecordKind::RolloutOrder(endpoint)
    }

    /// Notes the version of an endpoint's replicas if all have the same and no rollout is recorded.
    fn note_only_version(&self, endpoint: &Arc<str>) {
        let version = self.shared.with_pool(endpoint, |pool| {
            let mut versions = pool.specs().map(|spec| &spec.version);
            let first = versions.next()?;
            versions.all(|other| other == first).then(|| Arc::clone(first))
        });
        let Some(version) = version else { return };
        let mut view = self.shared.view();
        if !view.rollouts.records.contains_key(endpoint) {
            view.rollouts.note_only_version(Arc::clone(endpoint), version);
        }
    }

    fn put_internal(&self, rest: String, value: &Bytes, revision: Revision) -> RecordKind {
        if let Some(name) = rest.strip_prefix(NODES_PREFIX) {
            return self.put_node(name, value);
        }
        if let Some(writer) = rest.strip_prefix(REPORTS_PREFIX) {
            return self.put_reports(writer, value, revision.number);
        }
        if rest.starts_with(BLOCKS_PREFIX) {
            match serde_json::from_slice(value) {
                Ok(record) => self.shared.record_stored_block(&record),
                Err(error) => {
                    log::warn!(key = rest, revision = revision.number, cause:% = error; "invalid block of requests");
                }
            }
            return RecordKind::Other;
        }
        let mut view = self.shared.view();
        if let Some(endpoint) = rest.strip_prefix(ROLLOUTS_PREFIX) {
            match serde_json::from_slice::<Rollout>(value) {
                Ok(record) if is_outdated(&view, endpoint, &record) => {
                    log::info!(endpoint, target:% = record.target, stage:? = record.stage, revision = revision.number;
                        "restored stage of a move ignored");
                }
                Ok(record) => {
                    log::info!(endpoint, target:% = record.target, stage:? = record.stage, share = record.share,
                        reason:% = record.reason, revision = revision.number; "move changed");
                    view.rollouts.put_record(Arc::from(endpoint), record);
                }
                Err(error) => {
                    log::warn!(endpoint, revision = revision.number, cause:% = error; "invalid record of a rollout");
                }
            }
        }
        view.internal.insert(
            rest.clone(),
            InternalRecord {
                value: value.clone(),
                revision,
            },
        );
        RecordKind::Internal(rest)
    }

    fn put_reports(&self, writer: &str, value: &Bytes, revision: u64) -> RecordKind {
        match Summary::decode(value) {
            Ok(summary) => {
                let mut view = self.shared.view();
                view.summaries.insert(writer.to_owned(), Arc::new(summary));
            }
            Err(error) => log::warn!(node = writer, revision, cause:% = error; "invalid reports"),
        }
        RecordKind::Reports(writer.to_owned())
    }

    fn put_node(&self, name: &str, value: &Bytes) -> RecordKind {
        let decoded = name
            .parse::<Incarnation>()
            .ok()
            .zip(serde_json::from_slice::<Peer>(value).ok());
        let Some((incarnation, peer)) = decoded else {
            log::warn!(node = name; "invalid registration of a node");
            return RecordKind::Other;
        };
        let mut view = self.shared.view();
        let before = view.peers.get(&incarnation).map(|it| it.ready);
        if before != Some(peer.ready) {
            log::info!(node = peer.name, incarnation:% = incarnation, ready = peer.ready; "node changed");
        }
        view.peers.insert(incarnation, peer);
        drop(view);
        self.configure_pools();
        RecordKind::Node(incarnation)
    }

    fn handle_deletion(&mut self, key: &str, revision: Revision) {
        if let Some(zone) = self.evacuation(key) {
            return self.delete_evacuation(key, &zone, revision);
        }
        self.withheld.remove(key);
        let now = self.shared.now();
        let (up_since, report_age) = {
            let availability = self.shared.availability();
            (availability.up_since(), availability.report_age(now))
        };
        let Some(due) = self.deletions.record(now, up_since, key) else {
            return self.forget(key, "registration deleted");
        };
        metrics::counter!("bilberrylatch_deletions_deferred_total").increment(1);
        let age_or_none = |age: Option<Millis>| age.map_or(-1, |age| age.0 as i64);
        log::info!(key, up_ms = up_since.map_or(0, |since| now.since(since).0), due_in_ms = due.since(now).0,
            report_age_ms = age_or_none(report_age), zones_age_ms = age_or_none(self.shared.outside_age());
            "deletion deferred");
        self.shared.notify_deletions_changed();
    }

    pub(super) fn forget(&mut self, key: &str, reason: &str) {
        match self.known.swap_remove(key) {
            Some(RecordKind::Replica { endpoint, id, .. }) => {
                log::info!(replica:% = id, endpoint:% = endpoint, reason; "replica gone");
                let now = self.shared.now();
                self.forget_removals(now);
                self.removed.insert(key.to_owned(), now);
                self.shared.with_pool(&endpoint, |pool| pool.remove(&id));
            }
            Some(RecordKind::Node(incarnation)) => {
                log::info!(incarnation:% = incarnation, reason; "node gone");
                self.shared.view().peers.swap_remove(&incarnation);
                self.configure_pools();
            }
            Some(RecordKind::RolloutOrder(endpoint)) => {
                self.shared.view().rollouts.orders.swap_remove(&endpoint);
            }
            Some(RecordKind::Evacuation(zone)) => self.shared.reopen_zone(&zone),
            Some(RecordKind::Reports(writer)) => {
                self.shared.view().summaries.swap_remove(&writer);
            }
            Some(RecordKind::Internal(rest)) => {
                // A rollout that is known stays known, and the leader writes its record again.
                self.shared.view().internal.swap_remove(&rest);
            }
            Some(RecordKind::Other) | None => {}
        }
    }

    /// Applies the number of nodes to the replica pools.
    fn configure_pools(&self) {
        let view = self.shared.view();
        let (table, nodes) = (view.table.clone(), view.nodes());
        drop(view);
        if let Some(table) = table {
            self.shared.configure_pools(&table, nodes);
        }
    }
}

/// Whether a later stage of the same rollout is known.
fn is_outdated(view: &View, endpoint: &str, record: &Rollout) -> bool {
    let known = view.rollouts.records.get(endpoint);
    known.is_some_and(|known| known.is_later_than(record))
}
