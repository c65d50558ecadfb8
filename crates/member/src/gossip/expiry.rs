//! What is held is bounded: items expire by rule, and each kind has a most.

use base::Millis;

use super::{Gossip, fresh};
use crate::item::{Body, Key, Kind};
use crate::timestamp::Timestamp;

/// Time between two searches for expired items.
const PERIOD: Millis = Millis::from_secs(1);
/// The end of a node or a VM is told for this long.
const ENDED: Millis = Millis::from_secs(600);
/// A zone's count is held for this long.
const COUNT: Millis = Millis::from_secs(60);
/// A report of demand is held for this long.
const DEMAND: Millis = Millis::from_secs(60);
/// Longest difference between two nodes' reckonings of an item's age.
const GRACE: Millis = Millis::from_secs(5);
/// A veto is held for this long.
const VETO: Millis = Millis::from_secs(86_400);

/// How long a body is held; `None` for as long as nothing newer replaces it.
fn lifetime(body: &Body) -> Option<Millis> {
    match body {
        Body::Status(status) => status.gone.then_some(ENDED),
        Body::Mark { ended, .. } => ended.then_some(ENDED),
        Body::Head(_) => None,
        Body::Veto { .. } => Some(VETO),
        Body::Applied { .. } => Some(COUNT),
        Body::Demand { .. } => Some(DEMAND),
    }
}

/// Whether a body put at `put` is no longer taken from others: `GRACE` before it expires, so that what has expired here
/// isn't taken back from a peer that reckons it a little younger.
pub(super) fn is_stale(now: Millis, put: Timestamp, body: &Body) -> bool {
    lifetime(body).is_some_and(|lifetime| put.age(now) + GRACE >= lifetime)
}

/// Whether a body put at `put` is past its lifetime.
fn is_expired(now: Millis, put: Timestamp, body: &Body) -> bool {
    lifetime(body).is_some_and(|lifetime| put.age(now) >= lifetime)
}

impl Gossip {
    /// Whether the kind of `body` is below its most; what replaces a held item always is.
    pub(super) fn has_room(&self, body: &Body) -> bool {
        let key = body.key();
        let most = match key.kind() {
            Kind::Mark => self.settings.marks,
            Kind::Veto => self.settings.vetoes,
            Kind::Demand => self.settings.reports,
            Kind::Head | Kind::Node | Kind::Applied => return true,
        };
        self.store.get(&key).is_some() || self.store.count(key.kind()) < most
    }

    /// Drops what has expired.
    pub(super) fn expire(&mut self, now: Millis) {
        if now < self.timers.expiry {
            return;
        }
        self.timers.expiry = now + PERIOD;
        let items = self.store.iter();
        let expired: Vec<Key> = items
            .filter(|(_, held)| is_expired(now, held.put, &held.body))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.store.remove(&key);
            if let Key::Node(node) = key {
                self.view.remove(node);
                self.stale = true;
            }
        }
        let zones: Vec<u32> = self.view.present().map(|it| fresh::zone_of(it.node())).collect();
        self.fresh.retain(|zone| zones.contains(&zone));
    }
}
