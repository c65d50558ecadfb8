//! Failure detection by heartbeats, with suspicion and refutation.

use base::{Incarnation, Millis};

use super::{Action, Actions, Gossip, freshness, status_update};
use crate::frame::Message;
use crate::item::{Body, Status};
use crate::node::State;
use crate::timestamp::Timestamp;

impl Gossip {
    /// Records contact with `from`, and tells it if it is suspected or considered gone.
    pub(super) fn record_contact(&mut self, now: Millis, from: Incarnation, actions: &mut Actions) {
        let Some(member) = self.view.member(from) else {
            return;
        };
        let zone = freshness::zone_hash(member.node());
        let state = member.state();
        let status = member.status.clone();
        self.freshness.record_contact(now, zone);
        self.view.record_contact(now, from);
        if let Some(since) = self.watch.watched.get_mut(&from) {
            *since = now;
        }
        if matches!(state, State::Suspect | State::Gone) {
            self.send_status(now, status, actions);
        }
    }

    /// Sends a node its status as known here, so that it can refute a suspicion or learn that it was declared gone.
    fn send_status(&self, now: Millis, status: Status, actions: &mut Actions) {
        let Some(peer) = self.peer(status.node.incarnation) else {
            return;
        };
        let item = crate::Item {
            body: Body::Status(status),
            age: 0,
            hops: 0,
        };
        self.send(now, peer, status_update::push_message(&[item]), actions);
    }

    /// Sends heartbeats to the watchers if they are due.
    pub(super) fn send_due_heartbeats(&mut self, now: Millis, actions: &mut Actions) {
        if now < self.timers.heartbeat {
            return;
        }
        self.timers.heartbeat = now + self.settings.heartbeat_interval;
        self.send_heartbeats(now, &self.watch.watchers, actions);
    }

    pub(super) fn send_heartbeats(&self, now: Millis, to: &[Incarnation], actions: &mut Actions) {
        let applied = self.progress.applied.unwrap_or_default();
        for peer in to.iter().filter_map(|it| self.peer(*it)) {
            if peer.incarnation != self.incarnation() {
                self.send(now, peer, Message::Heartbeat { applied }, actions);
            }
        }
    }

    /// Suspects the watched nodes whose heartbeats are overdue.
    pub(super) fn check_watched(&mut self, now: Millis, actions: &mut Actions) {
        let limit = self.settings.suspect_after;
        let watched = self.watch.watched.iter();
        let silent: Vec<Incarnation> = watched
            .filter(|it| now.since(*it.1) > limit)
            .map(|it| *it.0)
            .collect();
        for node in silent {
            self.suspect(now, node, actions);
        }
    }

    /// Publishes a suspicion of a node, unless there was recent contact with it.
    pub(super) fn suspect(&mut self, now: Millis, node: Incarnation, actions: &mut Actions) {
        let Some(member) = self.view.member(node) else {
            return;
        };
        let limit = self.settings.suspect_after;
        let is_silent = member.last_contact.is_none_or(|at| now.since(at) > limit);
        if !is_silent || matches!(member.state(), State::Suspect | State::Gone) {
            return;
        }
        let mut status = member.status.clone();
        status.suspect = true;
        self.publish(now, Body::Status(status), actions);
    }

    /// Merges a node's status into the view. Returns false if the status is rejected.
    pub(super) fn merge_status(&mut self, now: Millis, status: &Status, actions: &mut Actions) -> bool {
        let node = status.node.incarnation;
        if node == self.incarnation() {
            return self.merge_own_status(now, status, actions);
        }
        if self.gone.contains(&node) {
            return false;
        }
        let before = self.view.member(node).map(crate::view::Member::state);
        let id = self.view.insert(now, status.clone());
        let after = self.view.get(id).map(crate::view::Member::state);
        if before != after {
            self.view_changed = true;
            actions.extend(after.map(|state| state_change(node, state)));
        }
        match after {
            Some(State::Gone) => self.record_gone(node),
            _ => self.declare_superseded_gone(now, status, actions),
        }
        true
    }

    /// Handles a status of this node: accepts being declared gone, and refutes any other status that is not its own.
    fn merge_own_status(&mut self, now: Millis, status: &Status, actions: &mut Actions) -> bool {
        if status.gone {
            if !self.fenced {
                self.fenced = true;
                actions.push(Action::Fenced);
            }
            self.own_status.gone = true;
            self.view.insert(now, status.clone());
            return true;
        }
        if *status == self.own_status {
            self.view.insert(now, status.clone());
            self.declare_superseded_gone(now, status, actions);
            return true;
        }
        if self.fenced {
            return false;
        }
        self.own_status.sequence = self.own_status.sequence.max(status.sequence) + 1;
        self.publish_own_status(now, actions);
        false
    }

    /// Publishes this node's status.
    pub(super) fn publish_own_status(&mut self, now: Millis, actions: &mut Actions) {
        let body = Body::Status(self.own_status.clone());
        self.merge(now, Timestamp::at(now), self.settings.hops, body, actions);
    }

    pub(super) fn leave(&mut self, now: Millis, actions: &mut Actions) {
        if self.own_status.leaving || self.fenced {
            return;
        }
        self.own_status.leaving = true;
        self.own_status.sequence += 1;
        self.publish_own_status(now, actions);
    }
}

fn state_change(node: Incarnation, state: State) -> Action {
    match state {
        State::Alive => Action::NodeUp(node),
        State::Leaving => Action::NodeLeaving(node),
        State::Suspect => Action::NodeSuspect(node),
        State::Gone => Action::NodeGone(node),
    }
}
