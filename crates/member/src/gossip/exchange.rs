//! Anti-entropy exchanges, in which two nodes find and transfer the items that one of them lacks.

use base::{Incarnation, Millis};
use rand::RngExt;

use super::peers::Peer;
use super::{Action, Actions, Gossip};
use crate::Generation;
use crate::frame::{Confirmed, Listing, Message, ZoneContact};
use crate::item::Item;

/// Estimated size of an item when a frame is filled.
const ITEM_BYTES: usize = 128;
/// The exchange interval grows by its base value for each this many nodes, since exchange messages grow with the
/// cluster.
const NODES_PER_SLOWDOWN: u64 = 2_000;
/// Number of peers to exchange with at startup and after a pause.
const SYNC_PEERS: usize = 3;

/// Returns the number of items that fit into a frame of `frame_bytes`.
pub(super) fn items_per_frame(frame_bytes: usize) -> usize {
    (frame_bytes / ITEM_BYTES).max(1)
}

/// The other node of an exchange, and the session of the node that started it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Partner {
    pub(super) node: Incarnation,
    pub(super) session: u32,
}

impl Gossip {
    /// Starts the periodic exchange with a random peer, or joins through the seed addresses if no peer is known.
    pub(super) fn exchange(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.exchange {
            return;
        }
        let factor = 1 + self.view.len() as u64 / NODES_PER_SLOWDOWN;
        self.timers.exchange = now + Millis(self.settings.exchange_interval.0 * factor);
        match self.peers.pick_for_exchange(&mut self.generator) {
            Some(peer) => self.send_sums(now, peer, actions),
            None => self.join(now, actions),
        }
    }

    /// Starts exchanges with a few peers immediately.
    pub(super) fn sync(&mut self, now: Millis, actions: &mut Actions) {
        self.refresh(now);
        let peers = self.peers.pick_many(SYNC_PEERS, &mut self.generator);
        if peers.is_empty() {
            self.join(now, actions);
        }
        for peer in peers {
            self.send_sums(now, peer, actions);
        }
    }

    fn join(&mut self, now: Millis, actions: &mut Actions) {
        let own_address = self.own_status.node.peer;
        for address in self.seeds.iter().filter(|it| **it != own_address) {
            let message = Message::Join(self.own_status.node.clone());
            let frame = self.frame(now, message);
            actions.push(Action::Send { to: *address, frame });
        }
    }

    /// Answers a join message with this node's status and starts an exchange.
    pub(super) fn answer_join(&mut self, now: Millis, from: Incarnation, actions: &mut Actions) {
        let Some(peer) = self.peer(from) else { return };
        let own_item = Item {
            body: crate::item::Body::Status(self.own_status.clone()),
            age: 0,
            hops: 0,
        };
        // The joining node must know the sender before it can answer the sums.
        let introduction = Message::Push {
            items: vec![own_item],
            updates: Vec::new(),
        };
        self.send(now, peer, introduction, actions);
        self.send_sums(now, peer, actions);
    }

    fn send_sums(&self, now: Millis, peer: Peer, actions: &mut Actions) {
        let message = Message::Sums {
            session: self.session,
            sums: self.store.sums(),
            contacts: self.freshness.contacts(now),
        };
        self.send(now, peer, message, actions);
    }

    pub(super) fn handle_sums(
        &mut self,
        now: Millis,
        partner: Partner,
        sums: &[u32],
        contacts: &[ZoneContact],
        actions: &mut Actions,
    ) {
        self.freshness
            .merge_contacts(now, self.settings.transit_allowance, contacts);
        let Some(peer) = self.peer(partner.node) else {
            return;
        };
        let message = Message::Differ {
            session: partner.session,
            listings: self.store.differing_buckets(sums),
            contacts: self.freshness.contacts(now),
            serving: self.serving_generation(),
        };
        self.send(now, peer, message, actions);
    }

    pub(super) fn handle_differ(
        &mut self,
        now: Millis,
        partner: Partner,
        listings: &[Listing],
        contacts: &[ZoneContact],
        serving: Option<Generation>,
        actions: &mut Actions,
    ) {
        self.freshness
            .merge_contacts(now, self.settings.transit_allowance, contacts);
        let offered: Vec<u64> = listings
            .iter()
            .flat_map(|it| self.store.keys_newer_than(it))
            .collect();
        let requested: Vec<u64> = listings
            .iter()
            .flat_map(|it| self.store.keys_older_than(it))
            .collect();
        if requested.is_empty() {
            self.complete_exchange(partner, serving, actions);
        }
        self.send_delta(now, partner, &offered, requested, actions);
    }

    /// Completes the exchange and sends the requested items. If the partner left items out, starts over to fetch the
    /// rest.
    pub(super) fn handle_delta(
        &mut self,
        now: Millis,
        partner: Partner,
        requested: &[u64],
        truncated: bool,
        serving: Option<Generation>,
        actions: &mut Actions,
    ) {
        if truncated {
            let Some(peer) = self.peer(partner.node) else {
                return;
            };
            self.send_sums(now, peer, actions);
            return;
        }
        self.complete_exchange(partner, serving, actions);
        self.send_delta(now, partner, requested, Vec::new(), actions);
    }

    fn send_delta(
        &mut self,
        now: Millis,
        partner: Partner,
        offered: &[u64],
        requested: Vec<u64>,
        actions: &mut Actions,
    ) {
        let Some(peer) = self.peer(partner.node) else {
            return;
        };
        if offered.is_empty() && requested.is_empty() {
            return;
        }
        let max_items = items_per_frame(self.settings.max_frame_bytes);
        let stored = offered
            .iter()
            .take(max_items)
            .filter_map(|key| self.store.by_hash(*key));
        let message = Message::Delta {
            session: partner.session,
            items: stored.map(|stored| stored.to_item(now, 0)).collect(),
            truncated: offered.len() > max_items,
            serving: self.serving_generation(),
            requested,
        };
        self.send(now, peer, message, actions);
    }

    /// Reports a completed exchange if this node started it in its current session.
    fn complete_exchange(&self, partner: Partner, serving: Option<Generation>, actions: &mut Actions) {
        if partner.session == self.session {
            let peer = partner.node;
            actions.push(Action::Exchanged { peer, serving });
        }
    }

    /// Starts a new session after a pause, since replies from before the pause are outdated.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        let gap = now.since(self.last_step);
        self.last_step = now.max(self.last_step);
        if gap > self.settings.suspect_after {
            self.session = self.generator.random();
        }
    }

    fn serving_generation(&self) -> Option<Generation> {
        if self.serving { self.progress.applied } else { None }
    }

    pub(super) fn record_confirmed(&mut self, now: Millis, generation: Generation) {
        let confirmed = Confirmed { generation, age: 0 };
        self.freshness.merge_confirmed(now, Millis::ZERO, confirmed);
    }
}
