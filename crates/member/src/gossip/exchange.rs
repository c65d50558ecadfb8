//! Repair: two nodes find the items that one of them lacks.

use base::{Incarnation, Millis};
use rand::RngExt;

use super::peers::Peer;
use super::{Action, Actions, Gossip};
use crate::Generation;
use crate::frame::{Confirmed, Heard, Listing, Message};
use crate::item::Item;

/// Bytes reckoned for an item when a frame is filled.
const ITEM_BYTES: usize = 128;
/// For each so many nodes exchanges are rarer by one period: their messages grow with the fleet.
const LARGE: u64 = 2_000;
/// Number of peers asked at once at the start and after a pause.
const ASKED: usize = 3;

/// Number of items in a frame of `frame_bytes`.
pub(super) fn items_a_frame(frame_bytes: usize) -> usize {
    (frame_bytes / ITEM_BYTES).max(1)
}

/// The other node of an exchange, and the round of the node that opened it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Partner {
    pub(super) node: Incarnation,
    pub(super) round: u32,
}

impl Gossip {
    /// The periodic exchange with a random peer, or with an address from the settings while none is known.
    pub(super) fn exchange(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.exchange {
            return;
        }
        let slower = 1 + self.view.len() as u64 / LARGE;
        self.timers.exchange = now + Millis(self.settings.exchange.0 * slower);
        match self.peers.pick_for_exchange(&mut self.generator) {
            Some(peer) => self.send_sums(now, peer, actions),
            None => self.join(now, actions),
        }
    }

    /// Asks a few peers at once.
    pub(super) fn ask(&mut self, now: Millis, actions: &mut Actions) {
        self.refresh(now);
        let peers = self.peers.pick_many(ASKED, &mut self.generator);
        if peers.is_empty() {
            self.join(now, actions);
        }
        for peer in peers {
            self.send_sums(now, peer, actions);
        }
    }

    fn join(&mut self, now: Millis, actions: &mut Actions) {
        let own = self.me.node.peer;
        for address in self.seeds.iter().filter(|it| **it != own) {
            let message = Message::Join(self.me.node.clone());
            let frame = self.frame(now, message);
            actions.push(Action::Send { to: *address, frame });
        }
    }

    /// Answers a node that introduced itself.
    pub(super) fn open(&mut self, now: Millis, from: Incarnation, actions: &mut Actions) {
        let Some(peer) = self.peer(from) else { return };
        let me = Item {
            body: crate::item::Body::Status(self.me.clone()),
            age: 0,
            hops: 0,
        };
        // NB: the newcomer must know the sender before it can answer the sums.
        let introduction = Message::Push {
            items: vec![me],
            briefs: Vec::new(),
        };
        self.send(now, peer, introduction, actions);
        self.send_sums(now, peer, actions);
    }

    fn send_sums(&self, now: Millis, peer: Peer, actions: &mut Actions) {
        let message = Message::Sums {
            round: self.round,
            sums: self.store.sums(),
            heard: self.fresh.heard(now),
        };
        self.send(now, peer, message, actions);
    }

    pub(super) fn take_sums(
        &mut self,
        now: Millis,
        with: Partner,
        sums: &[u32],
        heard: &[Heard],
        actions: &mut Actions,
    ) {
        self.fresh.take_heard(now, self.settings.wire_allowance, heard);
        let Some(peer) = self.peer(with.node) else { return };
        let message = Message::Differ {
            round: with.round,
            listings: self.store.differing(sums),
            heard: self.fresh.heard(now),
            serving: self.serves_with(),
        };
        self.send(now, peer, message, actions);
    }

    pub(super) fn take_differ(
        &mut self,
        now: Millis,
        with: Partner,
        listings: &[Listing],
        heard: &[Heard],
        serving: Option<Generation>,
        actions: &mut Actions,
    ) {
        self.fresh.take_heard(now, self.settings.wire_allowance, heard);
        let beyond: Vec<u64> = listings.iter().flat_map(|it| self.store.beyond(it)).collect();
        let want: Vec<u64> = listings.iter().flat_map(|it| self.store.lacking(it)).collect();
        if want.is_empty() {
            self.end_exchange(with, serving, actions);
        }
        self.send_delta(now, with, &beyond, want, actions);
    }

    pub(super) fn take_delta(
        &mut self,
        now: Millis,
        with: Partner,
        want: &[u64],
        more: bool,
        serving: Option<Generation>,
        actions: &mut Actions,
    ) {
        if more {
            let Some(peer) = self.peer(with.node) else { return };
            self.send_sums(now, peer, actions);
            return;
        }
        self.end_exchange(with, serving, actions);
        self.send_delta(now, with, want, Vec::new(), actions);
    }

    fn send_delta(
        &mut self,
        now: Millis,
        with: Partner,
        give: &[u64],
        want: Vec<u64>,
        actions: &mut Actions,
    ) {
        let Some(peer) = self.peer(with.node) else { return };
        if give.is_empty() && want.is_empty() {
            return;
        }
        let most = items_a_frame(self.settings.frame_bytes);
        let held = give.iter().take(most).filter_map(|key| self.store.by_hash(*key));
        let message = Message::Delta {
            round: with.round,
            items: held.map(|held| held.to_item(now, 0)).collect(),
            more: give.len() > most,
            serving: self.serves_with(),
            want,
        };
        self.send(now, peer, message, actions);
    }

    /// Tells that an exchange has ended, if this node has asked for it since it started or last woke.
    fn end_exchange(&self, with: Partner, serving: Option<Generation>, actions: &mut Actions) {
        if with.round == self.round {
            let with = with.node;
            actions.push(Action::Exchanged { with, serving });
        }
    }

    /// Draws a new round after a pause: answers from before it say nothing now.
    pub(super) fn note_pause(&mut self, now: Millis) {
        let gap = now.since(self.last_step);
        self.last_step = now.max(self.last_step);
        if gap > self.settings.suspect_after {
            self.round = self.generator.random();
        }
    }

    fn serves_with(&self) -> Option<Generation> {
        if self.serving { self.count.own } else { None }
    }

    pub(super) fn confirm(&mut self, now: Millis, generation: Generation) {
        let confirmed = Confirmed { generation, age: 0 };
        self.fresh.take_confirmed(now, Millis::ZERO, confirmed);
    }
}
