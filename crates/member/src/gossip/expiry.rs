//! Limits on stored items: lifetimes by kind, and maximum numbers.

use base::Millis;

use super::{Gossip, freshness};
use crate::item::{Body, Key, Kind};
use crate::timestamp::Timestamp;

/// Interval between searches for expired items.
const CHECK_INTERVAL: Millis = Millis::from_secs(1);
/// Lifetime of an item about a node or VM that has ended.
const ENDED_LIFETIME: Millis = Millis::from_secs(600);
/// Lifetime of a zone's progress.
const PROGRESS_LIFETIME: Millis = Millis::from_secs(60);
/// Lifetime of a demand report.
const DEMAND_LIFETIME: Millis = Millis::from_secs(60);
/// Maximum difference between two nodes' estimates of an item's age.
const AGE_TOLERANCE: Millis = Millis::from_secs(5);
/// Lifetime of a veto.
const VETO_LIFETIME: Millis = Millis::from_secs(86_400);

/// Returns the lifetime of a body; `None` if it is kept until a newer one replaces it.
fn lifetime(body: &Body) -> Option<Millis> {
    match body {
        Body::Status(status) => status.gone.then_some(ENDED_LIFETIME),
        Body::Mark { ended, .. } => ended.then_some(ENDED_LIFETIME),
        Body::Head(_) => None,
        Body::Veto { .. } => Some(VETO_LIFETIME),
        Body::Applied { .. } => Some(PROGRESS_LIFETIME),
        Body::Demand { .. } => Some(DEMAND_LIFETIME),
    }
}

/// Whether a body is too old to accept. The limit is `AGE_TOLERANCE` before expiry, so that an item that has expired
/// here isn't accepted again from a peer that estimates it to be slightly younger.
pub(super) fn is_stale(now: Millis, created: Timestamp, body: &Body) -> bool {
    lifetime(body).is_some_and(|lifetime| created.age(now) + AGE_TOLERANCE >= lifetime)
}

/// Whether a body created at `created` has reached its lifetime.
fn is_expired(now: Millis, created: Timestamp, body: &Body) -> bool {
    lifetime(body).is_some_and(|lifetime| created.age(now) >= lifetime)
}

impl Gossip {
    /// Whether `body` can be stored without exceeding the limit of its kind. A replacement of a stored item always can.
    pub(super) fn has_capacity(&self, body: &Body) -> bool {
        let key = body.key();
        let max = match key.kind() {
            Kind::Mark => self.settings.max_marks,
            Kind::Veto => self.settings.max_vetoes,
            Kind::Demand => self.settings.max_reports,
            Kind::Head | Kind::Node | Kind::Applied => return true,
        };
        self.store.get(&key).is_some() || self.store.count(key.kind()) < max
    }

    /// Removes expired items.
    pub(super) fn expire(&mut self, now: Millis) {
        if now < self.timers.expiry {
            return;
        }
        self.timers.expiry = now + CHECK_INTERVAL;
        let items = self.store.iter();
        let expired: Vec<Key> = items
            .filter(|(_, stored)| is_expired(now, stored.created, &stored.body))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.store.remove(&key);
            if let Key::Node(node) = key {
                self.view.remove(node);
                self.view_changed = true;
            }
        }
        let zones: Vec<u32> = self
            .view
            .present()
            .map(|it| freshness::zone_hash(it.node()))
            .collect();
        self.freshness.retain(|zone| zones.contains(&zone));
    }
}
