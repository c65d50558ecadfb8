//! The nodes that a node knows of, with their states.

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::item::Status;
use crate::node::{Node, State};

slotmap::new_key_type! {
    /// A node in the arena; it stays valid until the node's state is forgotten.
    pub struct Id;
}

/// A node and what is held of it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What was last learned of its state.
    pub status: Status,
    /// When anything was last heard from it directly, if ever.
    pub last_contact: Option<Millis>,
    /// When its present state was learned.
    pub state_since: Millis,
}

impl Member {
    /// The registration.
    pub fn node(&self) -> &Node {
        &self.status.node
    }

    /// The state.
    pub fn state(&self) -> State {
        match &self.status {
            Status { gone: true, .. } => State::Gone,
            Status { suspect: true, .. } => State::Suspect,
            Status { leaving: true, .. } => State::Leaving,
            Status { .. } => State::Alive,
        }
    }
}

/// The nodes known, in an arena, found by incarnation.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: SlotMap<Id, Member>,
    by_incarnation: IndexMap<Incarnation, Id>,
}

impl View {
    /// An empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of nodes known, those that are gone and not yet forgotten among them.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The key of the node with this incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<Id> {
        self.by_incarnation.get(&incarnation).copied()
    }

    /// The node under `id`.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(id)
    }

    /// The node with this incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.get(self.find(incarnation)?)
    }

    /// The newest incarnation known under a node's name.
    pub fn latest_by_name(&self, name: &Name) -> Option<&Member> {
        self.iter()
            .filter(|member| member.node().name == *name)
            .max_by_key(|member| (member.node().epoch, member.node().incarnation))
    }

    /// All nodes, in no particular but a reproducible order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_incarnation.values().filter_map(|id| self.get(*id))
    }

    /// The nodes that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state() != State::Gone)
    }

    /// The nodes whose heartbeats arrive.
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
