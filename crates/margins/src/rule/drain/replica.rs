//! Departures of one replica, as the nodes know them.

use indexmap::IndexMap;

use crate::{Name, Time};

/// Time by which nodes may know of a departure later than the first one. Then what each node knew is dropped.
const MAX_VIEW_LAG_MS: i64 = 60_000;

/// What a node knows of a replica.
#[derive(Clone, Copy, Debug)]
struct Knowledge {
    /// Number of the departure that it last knew of.
    departure: u64,
    has_returned: bool,
}

/// A replica that left at least once.
///
/// Nodes know of departures and returns at different times. A node that is late with an earlier departure does not begin
/// another, and one that is late with an earlier return does not end the current one.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    departures: u64,
    /// When the first node knew of the current departure.
    left: Option<Time>,
    /// When the first node knew of the last departure or return.
    changed: Option<Time>,
    nodes: IndexMap<Name, Knowledge>,
}

impl Replica {
    /// When the first node knew that the replica leaves; `None` if it is back.
    pub const fn left(&self) -> Option<Time> {
        self.left
    }

    /// Records that a node knows that the replica leaves. Returns whether a departure begins.
    pub fn leave(&mut self, at: Time, node: Name) -> bool {
        self.forget_nodes(at);
        let departure = match self.nodes.get(&node) {
            Some(own) if !own.has_returned => return false,
            Some(own) => own.departure + 1,
            // The node has not said anything of the last departure yet.
            None if self.left.is_some() || !self.nodes.is_empty() => self.departures,
            None => self.departures + 1,
        };
        let own = Knowledge {
            departure,
            has_returned: false,
        };
        self.nodes.insert(node, own);
        if departure <= self.departures {
            return false;
        }
        self.departures = departure;
        self.left = Some(at);
        self.changed = Some(at);
        true
    }

    /// Records that the replica is ready at a node.
    pub fn come_back(&mut self, at: Time, node: Name) {
        self.forget_nodes(at);
        let is_known = !self.nodes.is_empty();
        let departure = match self.nodes.get_mut(&node) {
            Some(own) => {
                own.has_returned = true;
                own.departure
            }
            // The node has just started, or does not know of the departure yet.
            None if is_known => return,
            None => self.departures,
        };
        if departure == self.departures && self.left.is_some() {
            self.left = None;
            self.changed = Some(at);
        }
    }

    /// Drops what each node knew of a departure or return that all nodes know of by now.
    pub fn forget_nodes(&mut self, now: Time) {
        if self.changed.is_some_and(|at| now.since(at) > MAX_VIEW_LAG_MS) {
            self.nodes = IndexMap::new();
        }
    }
}
