//! Changes of nodes' states, told without the registrations: in a cut they make up most of the traffic.

use base::Millis;

use super::{Actions, Gossip};
use crate::frame::{Brief, Message};
use crate::item::{Body, Item, Status};

impl Brief {
    /// The brief form of an item; `None` if it is no state, or the first that is told of a node.
    fn of(item: &Item) -> Option<Self> {
        let Body::Status(status) = &item.body else {
            return None;
        };
        let is_first = status.beat == 0 && !status.suspect && !status.gone;
        if is_first {
            return None;
        }
        Some(Self {
            node: status.node.incarnation,
            beat: status.beat,
            leaving: status.leaving,
            suspect: status.suspect,
            gone: status.gone,
            age: item.age,
            hops: item.hops,
        })
    }
}

/// A push of these items, in brief where that will do.
pub(super) fn push(items: &[Item]) -> Message {
    let briefs = items.iter().filter_map(Brief::of).collect();
    let is_full = |item: &&Item| Brief::of(item).is_none();
    let items = items.iter().filter(is_full).cloned().collect();
    Message::Push { items, briefs }
}

impl Gossip {
    /// Takes the brief states of nodes known here; the others come in full with the next exchange.
    pub(super) fn take_briefs(&mut self, now: Millis, briefs: Vec<Brief>, actions: &mut Actions) {
        let full = |brief: Brief| {
            let node = self.view.member(brief.node)?.node().clone();
            let status = Status {
                node,
                beat: brief.beat,
                leaving: brief.leaving,
                suspect: brief.suspect,
                gone: brief.gone,
            };
            Some(Item {
                body: Body::Status(status),
                age: brief.age,
                hops: brief.hops,
            })
        };
        let items = briefs.into_iter().filter_map(full).collect();
        self.take_all(now, items, actions);
    }
}
