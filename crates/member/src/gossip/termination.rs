//! Permanent termination of nodes and VMs.
//!
//! A node's incarnation is declared gone in any of these cases:
//!
//! - A later incarnation of its name is known.
//! - It announced its own stop.
//! - The cloud reports that its VM has ended.
//! - For `gone_after`, the platform has listed no live registration of it, its heartbeats have been missing, and this
//!   node has reached a majority of the known nodes without interruption.
//!
//! The majority condition lets a node that itself reaches a majority keep serving through a platform outage: it can't
//! have been declared gone.

use base::{Incarnation, Millis};
use indexmap::IndexSet;

use super::{Actions, Gossip, status_update};
use crate::item::{Body, Key, Status, Vm};
use crate::node::{Node, Registration, State};
use crate::timestamp::Timestamp;

/// Maximum number of incarnations remembered as gone; the oldest are dropped first.
const MAX_GONE: usize = 65_536;
/// Interval between counts of the reachable nodes.
const MAJORITY_CHECK_INTERVAL: Millis = Millis(500);
/// Maximum number of peers that are notified directly of this node's stop.
const STOP_PEERS: usize = 8;

impl Gossip {
    /// Declares gone the incarnations that `status` supersedes, or its own if a later one is known.
    pub(super) fn declare_superseded_gone(&mut self, now: Millis, status: &Status, actions: &mut Actions) {
        let mut superseded = Vec::new();
        for member in self.view.present() {
            if status.node.supersedes(member.node()) {
                superseded.push(member.node().incarnation);
            }
            if member.node().supersedes(&status.node) {
                superseded.push(status.node.incarnation);
            }
        }
        for node in superseded {
            self.declare_gone(now, node, actions);
        }
    }

    /// Declares an incarnation gone and publishes its status.
    pub(super) fn declare_gone(&mut self, now: Millis, node: Incarnation, actions: &mut Actions) {
        let Some(member) = self.view.member(node) else {
            return;
        };
        if member.state() == State::Gone {
            return;
        }
        let mut status = member.status.clone();
        status.gone = true;
        self.publish(now, Body::Status(status), actions);
    }

    pub(super) fn record_gone(&mut self, node: Incarnation) {
        self.gone.insert(node);
        if self.gone.len() > MAX_GONE {
            self.gone.shift_remove_index(0);
        }
        self.progress.reported.swap_remove(&node);
        self.unregistered.swap_remove(&node);
    }

    /// Adds a node from a join message or from the platform's list, unless it is known. It is forwarded up to `hops`
    /// times. Nodes from the platform's list need not be forwarded, since all nodes that watch the platform read it.
    pub(super) fn add_node(&mut self, now: Millis, node: &Node, hops: u8, actions: &mut Actions) {
        if self.view.find(node.incarnation).is_some() || self.gone.contains(&node.incarnation) {
            return;
        }
        let status = Status {
            node: node.clone(),
            sequence: 0,
            leaving: false,
            suspect: false,
            gone: false,
        };
        self.merge(now, Timestamp::at(now), hops, Body::Status(status), actions);
    }

    /// Handles the platform's list of registrations.
    pub(super) fn handle_registrations(
        &mut self,
        now: Millis,
        listed: &[Registration],
        actions: &mut Actions,
    ) {
        for it in listed {
            self.add_node(now, &it.node, 0, actions);
        }
        let listed = listed.iter().filter(|it| !it.lease_expired);
        let listed: IndexSet<Incarnation> = listed.map(|it| it.node.incarnation).collect();
        let missing = self.view.present().map(|it| it.node().incarnation);
        let missing: IndexSet<Incarnation> = missing.filter(|it| !listed.contains(it)).collect();
        self.unregistered.retain(|node, _| missing.contains(node));
        for node in missing {
            self.unregistered.entry(node).or_insert(now);
        }
        self.declare_expired_gone(now, actions);
    }

    /// Tracks since when a majority of the known nodes has been reachable. A pause of this node restarts the period.
    pub(super) fn check_majority(&mut self, now: Millis) {
        let has_paused = now.since(self.last_tick) > self.settings.suspect_after;
        self.last_tick = now;
        if !has_paused && now < self.timers.majority {
            return;
        }
        self.timers.majority = now + MAJORITY_CHECK_INTERVAL;
        if has_paused || !self.reach(now).is_majority() {
            self.majority_since = None;
            return;
        }
        self.majority_since.get_or_insert(now);
    }

    fn declare_expired_gone(&mut self, now: Millis, actions: &mut Actions) {
        let limit = self.settings.gone_after;
        if self.majority_since.is_none_or(|since| now.since(since) < limit) {
            return;
        }
        let is_expired = |since: Millis| now.since(since) >= limit;
        let is_silent = |node: Incarnation| {
            let member = self.view.member(node);
            member.is_some_and(|it| it.state() == State::Suspect && now.since(it.state_since) >= limit)
        };
        let expired: Vec<Incarnation> = self
            .unregistered
            .iter()
            .filter(|it| is_expired(*it.1) && is_silent(*it.0))
            .map(|it| *it.0)
            .collect();
        for node in expired {
            self.declare_gone(now, node, actions);
        }
    }

    /// Handles the VM list: the marks of VMs that have been missing from it for `vm_ended_after` are set to ended.
    pub(super) fn handle_vm_list(&mut self, now: Millis, vms: &[Vm], actions: &mut Actions) {
        let listed: IndexSet<&Vm> = vms.iter().collect();
        let marked = self
            .store
            .iter()
            .filter_map(|(key, stored)| match (key, &stored.body) {
                (Key::Mark(vm), Body::Mark { ended: false, .. }) => Some(vm.clone()),
                _ => None,
            });
        let missing: IndexSet<Vm> = marked.filter(|vm| !listed.contains(vm)).collect();
        self.unlisted.retain(|vm, _| missing.contains(vm));
        let mut ended = Vec::new();
        for vm in missing {
            let since = *self.unlisted.entry(vm.clone()).or_insert(now);
            if now.since(since) >= self.settings.vm_ended_after {
                ended.push(vm);
            }
        }
        for vm in ended {
            self.unlisted.swap_remove(&vm);
            self.publish(now, Body::Mark { vm, ended: true }, actions);
        }
    }

    /// Announces the end of this incarnation directly to several peers, since no further tick follows.
    pub(super) fn announce_stop(&mut self, now: Millis, actions: &mut Actions) {
        if self.fenced {
            return;
        }
        self.refresh(now);
        let mut status = self.own_status.clone();
        status.gone = true;
        self.publish(now, Body::Status(status), actions);
        let items = std::mem::take(&mut self.outbox);
        for peer in self.peers.pick_many(STOP_PEERS, &mut self.generator) {
            self.send(now, peer, status_update::push_message(&items), actions);
        }
    }
}
