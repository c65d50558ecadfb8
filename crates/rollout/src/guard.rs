//! The local comparison of versions on one node.

pub mod event;

pub use event::{Action, Event};

use base::{Incarnation, Millis};

use crate::{Id, Summary};

/// Compares the versions of every rollout on this node; one a node.
#[derive(Clone, Debug)]
pub struct Guard {
    node: Incarnation,
    sequence: u64,
}

impl Guard {
    /// A guard for this run of the node.
    pub fn new(node: Incarnation) -> Self {
        Self { node, sequence: 0 }
    }

    /// Takes an event in; what to do about it.
    pub fn step(&mut self, _now: Millis, _event: Event) -> Vec<Action> {
        Vec::new()
    }

    /// This node's evidence on a rollout, for the controller.
    pub fn summary(&mut self, rollout: Id) -> Summary {
        self.sequence += 1;
        Summary {
            rollout,
            node: self.node,
            sequence: self.sequence,
            routes: indexmap::IndexMap::new(),
        }
    }
}
