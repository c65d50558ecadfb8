//! Status changes sent without the node's registration. They are most of the traffic during a network partition.

use base::Millis;

use super::{Actions, Gossip};
use crate::frame::{Message, StatusUpdate};
use crate::item::{Body, Item, Status};

impl StatusUpdate {
    /// Returns the status update for an item; `None` if it is not a status, or is the first status of a node, which
    /// must be sent with the registration.
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

/// Creates a push message with `items`, as status updates where possible.
pub(super) fn push_message(items: &[Item]) -> Message {
    let updates = items.iter().filter_map(StatusUpdate::of).collect();
    let needs_full = |item: &&Item| StatusUpdate::of(item).is_none();
    let items = items.iter().filter(needs_full).cloned().collect();
    Message::Push { items, updates }
}

impl Gossip {
    /// Merges the status updates of known nodes. Those of unknown nodes are dropped; the next exchange delivers the
    /// complete items.
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
