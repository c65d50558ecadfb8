//! Dissemination of new items: each is merged once and forwarded at the next tick.

use base::Millis;

use super::{Action, Actions, Gossip, exchange, expiry, status_update};
use crate::item::{Body, Item};
use crate::timestamp::Timestamp;

/// Number of additional peers that urgent items are pushed to, so that fewer nodes depend on an exchange.
const URGENT_EXTRA_PEERS: usize = 2;

/// Whether an item must reach all nodes within seconds.
fn is_urgent(body: &Body) -> bool {
    matches!(body, Body::Head(_) | Body::Mark { .. } | Body::Veto { .. })
}

impl Gossip {
    pub(super) fn publish(&mut self, now: Millis, body: Body, actions: &mut Actions) {
        self.merge(now, Timestamp::at(now), self.settings.hops, body, actions);
    }

    pub(super) fn merge_items(&mut self, now: Millis, items: Vec<Item>, actions: &mut Actions) {
        for item in items {
            let created = Timestamp::before(now, u64::from(item.age));
            self.merge(now, created, item.hops, item.body, actions);
        }
    }

    /// Stores a body if it is newer than the stored one, and queues it for forwarding.
    pub(super) fn merge(
        &mut self,
        now: Millis,
        created: Timestamp,
        hops: u8,
        body: Body,
        actions: &mut Actions,
    ) {
        if !self.store.is_newer(&body) || expiry::is_stale(now, created, &body) || !self.has_capacity(&body) {
            return;
        }
        if let Body::Status(status) = &body
            && !self.merge_status(now, status, actions)
        {
            return;
        }
        // Merging the status may have declared the same node gone, which is newer still.
        if !self.store.is_newer(&body) {
            return;
        }
        self.store.insert(created, body.clone());
        if hops > 0 {
            let age = created.age_millis(now);
            let hops = hops - 1;
            let body = body.clone();
            self.outbox.push(Item { body, age, hops });
        }
        actions.push(Action::Learned(body));
    }

    /// Pushes the queued items to a few peers.
    pub(super) fn push_outbox(&mut self, now: Millis, actions: &mut Actions) {
        if self.outbox.is_empty() {
            return;
        }
        let items = std::mem::take(&mut self.outbox);
        let is_urgent = items.iter().any(|item| is_urgent(&item.body));
        let extra = if is_urgent { URGENT_EXTRA_PEERS } else { 0 };
        let count = self.settings.fan_out + extra;
        let targets = self.peers.pick_many(count, &mut self.generator);
        for batch in items.chunks(exchange::items_per_frame(self.settings.max_frame_bytes)) {
            for peer in &targets {
                self.send(now, *peer, status_update::push_message(batch), actions);
            }
        }
    }
}
