//! Changes of nodes' states, told without the registrations: in a cut they make up most of the traffic.

use base::Millis;

use super::{Actions, Gossip};
use crate::frame::{Message, StatusUpdate};
use crate::item::{Body, Item, Status};

impl StatusUpdate {
    /// The brief form of an item; `None` if it is no state, or the first that is told of a node.
    fn of(item: &Item) -> Option<Self> {
        let Body::Status(status) = &item.body else {
            return None;
        };
        let is_first = status.sequence == 0 && !status.suspect && !status.gone;
        if is_first {
            return None;
        }
        Some(Self {
            node: status.node.incarnation,
            sequence: status.sequence,
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
    let updates = items.iter().filter_map(StatusUpdate::of).collect();
    let needs_full = |item: &&Item| StatusUpdate::of(item).is_none();
    let items = items.iter().filter(needs_full).cloned().collect();
    Message::Push { items, updates }
}

impl Gossip {
    /// Takes the brief states of nodes known here; the others come in full with the next exchange.
    pub(super) fn merge_status_updates(
        &mut self,
        now: Millis,
        updates: Vec<StatusUpdate>,
        actions: &mut Actions,
    ) {
        let to_item = |update: StatusUpdate| {
            let node = self.view.member(update.node)?.node().clone();
            let status = Status {
                node,
                sequence: update.sequence,
                leaving: update.leaving,
                suspect: update.suspect,
                gone: update.gone,
            };
            Some(Item {
                body: Body::Status(status),
                age: update.age,
                hops: update.hops,
            })
        };
        let items = updates.into_iter().filter_map(to_item).collect();
        self.merge_items(now, items, actions);
    }
}
