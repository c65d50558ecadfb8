//! Start-time fair queueing of one endpoint's waiting requests by workspace.

pub(crate) mod flow;

use std::collections::BTreeSet;

use crate::hash::Map;
use crate::key::{CallKey, WorkspaceKey};
use flow::{Constraints, Entry, Flow};

/// Virtual time that one dispatch costs a workspace of weight one.
const DISPATCH_COST: u64 = 1 << 20;

/// Place of a flow in the order of turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyFlow {
    start_tag: u64,
    pub workspace: WorkspaceKey,
}

/// The waiting requests of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: Map<WorkspaceKey, Flow>,
    /// Flows with waiting requests whose workspace is below its share.
    ready: BTreeSet<ReadyFlow>,
    /// Start tag of the last dispatch.
    virtual_time: u64,
    len: usize,
    /// Sum of the weights of the flows with waiting requests.
    total_weight: u64,
}

impl Queue {
    /// Requests waiting.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Requests of one workspace waiting.
    pub fn len_of(&self, workspace: WorkspaceKey) -> usize {
        self.flows.get(&workspace).map_or(0, Flow::len)
    }

    /// Turns that pass until a new request of this workspace has its own: the smaller of all that wait
    /// and what the workspace's own requests take at its part of the turns.
    pub fn expected_position(&self, workspace: WorkspaceKey, weight: u32) -> f64 {
        let own = self.len_of(workspace);
        let weight = u64::from(weight.max(1));
        let new_weight = if own == 0 { weight } else { 0 };
        let fraction = weight as f64 / (self.total_weight + new_weight) as f64;
        ((own + 1) as f64 / fraction).min((self.len + 1) as f64)
    }

    /// Adds a request.
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

    /// Takes a request out; whether it was there.
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

    /// The flows whose turn comes first, in order.
    pub fn ready_flows(&self) -> impl Iterator<Item = ReadyFlow> + '_ {
        self.ready.iter().copied()
    }

    /// The first requests of a workspace, one for each set of versions that they accept, in order.
    pub fn heads(&self, workspace: WorkspaceKey) -> Vec<Entry> {
        self.flows.get(&workspace).map(Flow::heads).unwrap_or_default()
    }

    /// Charges a dispatch to a workspace; its next turn comes the later the smaller its weight.
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

    /// Takes a workspace's flow out of the turns, as it is at its share.
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

    /// Lets a workspace's flow have turns again.
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

    /// Forgets a workspace without waiting requests.
    pub fn remove_workspace(&mut self, workspace: WorkspaceKey) {
        self.flows.swap_remove(&workspace);
    }

    /// Every waiting request.
    pub fn calls(&self) -> Vec<CallKey> {
        self.flows.values().flat_map(Flow::calls).collect()
    }
}
