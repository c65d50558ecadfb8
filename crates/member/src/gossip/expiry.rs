//! What is held is bounded: items expire by rule, and each kind has a most.

use base::Millis;

use super::{Gossip, freshness};
use crate::item::{Body, Key, Kind};
use crate::timestamp::Timestamp;

/// Time between two searches for expired items.
const CHECK_INTERVAL: Millis = Millis::from_secs(1);
/// The end of a node or a VM is told for this long.
const ENDED_LIFETIME: Millis = Millis::from_secs(600);
/// A zone's count is held for this long.
const PROGRESS_LIFETIME: Millis = Millis::from_secs(60);
/// A report of demand is held for this long.
const DEMAND_LIFETIME: Millis = Millis::from_secs(60);
/// Longest difference between two nodes' reckonings of an item's age.
const AGE_TOLERANCE: Millis = Millis::from_secs(5);
/// A veto is held for this long.
const VETO_LIFETIME: Millis = Millis::from_secs(86_400);

/// How long a body is held; `None` for as long as nothing newer replaces it.
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

/// Whether a body put at `put` is no longer taken from others: `GRACE` before it expires, so that what has expired here
/// isn't taken back from a peer that reckons it a little younger.
pub(super) fn is_stale(now: Millis, created: Timestamp, body: &Body) -> bool {
    lifetime(body).is_some_and(|lifetime| created.age(now) + AGE_TOLERANCE >= lifetime)
}

/// Whether a body put at `put` is past its lifetime.
fn is_expired(now: Millis, created: Timestamp, body: &Body) -> bool {
    lifetime(body).is_some_and(|lifetime| created.age(now) >= lifetime)
}

impl Gossip {
    /// Whether the kind of `body` is below its most; what replaces a held item always is.
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

    /// Drops what has expired.
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
