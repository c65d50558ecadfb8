//! The known nodes and their states.

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::item::Status;
use crate::node::{Node, State};

slotmap::new_key_type! {
    /// Key of a node in the arena, valid until the node is removed from the view.
    pub struct Id;
}

/// A node and its last known state.
#[derive(Clone, Debug)]
pub struct Member {
    /// The last known status.
    pub status: Status,
    /// When a message last arrived from the node directly, if ever.
    pub last_contact: Option<Millis>,
    /// When the current status was learned.
    pub state_since: Millis,
}

impl Member {
    /// Returns the registration.
    pub fn node(&self) -> &Node {
        &self.status.node
    }

    /// Returns the state: gone takes precedence over suspect, and suspect over leaving.
    pub fn state(&self) -> State {
        match &self.status {
            Status { gone: true, .. } => State::Gone,
            Status { suspect: true, .. } => State::Suspect,
            Status { leaving: true, .. } => State::Leaving,
            Status { .. } => State::Alive,
        }
    }
}

/// The known nodes, stored in an arena and indexed by incarnation.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: SlotMap<Id, Member>,
    by_incarnation: IndexMap<Incarnation, Id>,
}

impl View {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of known nodes, including gone nodes that are not removed yet.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the view has no nodes.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the key of the node with this incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<Id> {
        self.by_incarnation.get(&incarnation).copied()
    }

    /// Returns the node with the key `id`.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the node with this incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.get(self.find(incarnation)?)
    }

    /// Returns the latest known incarnation of the node called `name`.
    pub fn latest_by_name(&self, name: &Name) -> Option<&Member> {
        self.iter()
            .filter(|member| member.node().name == *name)
            .max_by_key(|member| (member.node().epoch, member.node().incarnation))
    }

    /// Iterates over all nodes in an unspecified, but reproducible order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_incarnation.values().filter_map(|id| self.get(*id))
    }

    /// Iterates over the nodes that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state() != State::Gone)
    }

    /// Iterates over the nodes that are neither suspect nor gone.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| matches!(member.state(), State::Alive | State::Leaving))
    }

    pub(crate) fn insert(&mut self, now: Millis, status: Status) -> Id {
        let incarnation = status.node.incarnation;
        if let Some(id) = self.find(incarnation) {
            let member = &mut self.members[id];
            member.status = status;
            member.state_since = now;
            return id;
        }
        let id = self.members.insert(Member {
            status,
            last_contact: None,
            state_since: now,
        });
        self.by_incarnation.insert(incarnation, id);
        id
    }

    pub(crate) fn remove(&mut self, incarnation: Incarnation) {
        if let Some(id) = self.by_incarnation.swap_remove(&incarnation) {
            self.members.remove(id);
        }
    }

    pub(crate) fn record_contact(&mut self, now: Millis, incarnation: Incarnation) {
        let Some(id) = self.find(incarnation) else { return };
        self.members[id].last_contact = Some(now);
    }
}
