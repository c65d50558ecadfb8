//! Repair: two nodes find the items that one of them lacks.

use base::{Incarnation, Millis};
use rand::RngExt;

use super::peers::Peer;
use super::{Action, Actions, Gossip};
use crate::Generation;
use crate::frame::{Confirmed, Listing, Message, ZoneContact};
use crate::item::Item;

/// Bytes reckoned for an item when a frame is filled.
const ITEM_BYTES: usize = 128;
/// For each so many nodes exchanges are rarer by one period: their messages grow with the fleet.
const NODES_PER_SLOWDOWN: u64 = 2_000;
/// Number of peers asked at once at the start and after a pause.
const SYNC_PEERS: usize = 3;

/// Number of items in a frame of `frame_bytes`.
pub(super) fn items_per_frame(frame_bytes: usize) -> usize {
    (frame_bytes / ITEM_BYTES).max(1)
}

/// The other node of an exchange, and the round of the node that opened it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Partner {
    pub(super) node: Incarnation,
    pub(super) session: u32,
}

impl Gossip {
    /// The periodic exchange with a random peer, or with an address from the settings while none is known.
    pub(super) fn exchange(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.exchange {
            return;
        }
        let slower = 1 + self.view.len() as u64 / NODES_PER_SLOWDOWN;
        self.timers.exchange = now + Millis(self.settings.exchange_interval.0 * slower);
        match self.peers.pick_for_exchange(&mut self.generator) {
            Some(peer) => self.send_sums(now, peer, actions),
            None => self.join(now, actions),
        }
    }

    /// Asks a few peers at once.
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
        let own = self.own_status.node.peer;
        for address in self.seeds.iter().filter(|it| **it != own) {
            let message = Message::Join(self.own_status.node.clone());
            let frame = self.frame(now, message);
            actions.push(Action::Send { to: *address, frame });
        }
    }

    /// Answers a node that introduced itself.
    pub(super) fn answer_join(&mut self, now: Millis, from: Incarnation, actions: &mut Actions) {
        let Some(peer) = self.peer(from) else { return };
        let me = Item {
            body: crate::item::Body::Status(self.own_status.clone()),
            age: 0,
            hops: 0,
        };
        // NB: the newcomer must know the sender before it can answer the sums.
        let introduction = Message::Push {
            items: vec![me],
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
        let offered: Vec<u64> = listings.iter().flat_map(|it| self.store.newer_than(it)).collect();
        let requested: Vec<u64> = listings.iter().flat_map(|it| self.store.older_than(it)).collect();
        if requested.is_empty() {
            self.complete_exchange(partner, serving, actions);
        }
        self.send_delta(now, partner, &offered, requested, actions);
    }

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
        let held = offered
            .iter()
            .take(max_items)
            .filter_map(|key| self.store.by_hash(*key));
        let message = Message::Delta {
            session: partner.session,
            items: held.map(|held| held.to_item(now, 0)).collect(),
            truncated: offered.len() > max_items,
            serving: self.serving_generation(),
            requested,
        };
        self.send(now, peer, message, actions);
    }

    /// Tells that an exchange has ended, if this node has asked for it since it started or last woke.
    fn complete_exchange(&self, partner: Partner, serving: Option<Generation>, actions: &mut Actions) {
        if partner.session == self.session {
            let peer = partner.node;
            actions.push(Action::Exchanged { peer, serving });
        }
    }

    /// Draws a new round after a pause: answers from before it say nothing now.
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
