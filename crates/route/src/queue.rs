//! Start-time fair queueing of an endpoint's requests by workspace.

pub(crate) mod flow;

use std::collections::BTreeSet;

use crate::hash::Map;
use crate::key::{CallKey, WorkspaceKey};
use flow::{Constraints, Entry, Flow};

/// Virtual time of one dispatch at weight one.
const DISPATCH_COST: u64 = 1 << 20;

/// A flow that may dispatch, ordered by its start tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyFlow {
    start_tag: u64,
    pub workspace: WorkspaceKey,
}

/// The queued requests of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: Map<WorkspaceKey, Flow>,
    /// Flows with queued requests whose workspace is below its share.
    ready: BTreeSet<ReadyFlow>,
    /// Greatest start tag of any dispatch so far.
    virtual_time: u64,
    len: usize,
    /// Sum of the weights of the flows with queued requests.
    total_weight: u64,
}

impl Queue {
    /// Number of queued requests.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Number of queued requests of a workspace.
    pub fn len_of(&self, workspace: WorkspaceKey) -> usize {
        self.flows.get(&workspace).map_or(0, Flow::len)
    }

    /// Estimates after how many dispatches a new request of the workspace is dispatched: the number of all queued
    /// requests or, if less, what the workspace's own requests take at its weighted share of the dispatches.
    pub fn expected_position(&self, workspace: WorkspaceKey, weight: u32) -> f64 {
        let own = self.len_of(workspace);
        let weight = u64::from(weight.max(1));
        let new_weight = if own == 0 { weight } else { 0 };
        let fraction = weight as f64 / (self.total_weight + new_weight) as f64;
        ((own + 1) as f64 / fraction).min((self.len + 1) as f64)
    }

    /// Queues a request.
    pub fn push(&mut self, workspace: WorkspaceKey, weight: u32, constraints: Constraints, entry: Entry) {
        let flow = self.flows.entry(workspace).or_default();
        if flow.is_empty() {
            flow.weight = weight.max(1);
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.total_weight += u64::from(flow.weight);
            if !flow.parked {
                self.ready.insert(ReadyFlow {
                    start_tag: flow.start_tag,
                    workspace,
                });
            }
        }
        flow.insert(constraints, entry);
        self.len += 1;
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, workspace: WorkspaceKey, constraints: Constraints, entry: Entry) -> bool {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return false;
        };
        if !flow.remove(constraints, entry) {
            return false;
        }
        self.len -= 1;
        if flow.is_empty() {
            self.total_weight -= u64::from(flow.weight);
            self.ready.remove(&ReadyFlow {
                start_tag: flow.start_tag,
                workspace,
            });
        }
        true
    }

    /// Returns the flows that may dispatch, in scheduling order.
    pub fn ready_flows(&self) -> impl Iterator<Item = ReadyFlow> + '_ {
        self.ready.iter().copied()
    }

    /// Returns the first request of a workspace for each set of constraints, in order.
    pub fn heads(&self, workspace: WorkspaceKey) -> Vec<Entry> {
        self.flows.get(&workspace).map(Flow::heads).unwrap_or_default()
    }

    /// Charges a dispatch to a workspace. The smaller its weight, the later its next dispatch.
    pub fn charge(&mut self, workspace: WorkspaceKey, weight: u32) {
        let flow = self.flows.entry(workspace).or_default();
        let start = flow.start_tag.max(self.virtual_time);
        let is_ready = !flow.is_empty() && !flow.parked;
        if is_ready {
            self.ready.remove(&ReadyFlow {
                start_tag: flow.start_tag,
                workspace,
            });
        }
        self.virtual_time = self.virtual_time.max(start);
        flow.start_tag = start + DISPATCH_COST / u64::from(weight.max(1));
        if is_ready {
            self.ready.insert(ReadyFlow {
                start_tag: flow.start_tag,
                workspace,
            });
        }
    }

    /// Parks the flow of a workspace that has reached its share: its requests stay queued but are not dispatched.
    pub fn park(&mut self, workspace: WorkspaceKey) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        flow.parked = true;
        self.ready.remove(&ReadyFlow {
            start_tag: flow.start_tag,
            workspace,
        });
    }

    /// Lets a parked flow dispatch again.
    pub fn unpark(&mut self, workspace: WorkspaceKey) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        flow.parked = false;
        if flow.is_empty() {
            return;
        }
        self.ready.remove(&ReadyFlow {
            start_tag: flow.start_tag,
            workspace,
        });
        flow.start_tag = flow.start_tag.max(self.virtual_time);
        self.ready.insert(ReadyFlow {
            start_tag: flow.start_tag,
            workspace,
        });
    }

    /// Removes a workspace that has no queued requests.
    pub fn remove_workspace(&mut self, workspace: WorkspaceKey) {
        self.flows.swap_remove(&workspace);
    }

    /// Returns all queued requests.
    pub fn calls(&self) -> Vec<CallKey> {
        self.flows.values().flat_map(Flow::calls).collect()
    }
}
