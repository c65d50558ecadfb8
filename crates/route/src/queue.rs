//! Start-time fair queueing of one endpoint's waiting requests by workspace.

pub(crate) mod flow;

use std::collections::BTreeSet;

use crate::hash::Map;
use crate::key::{CallKey, WorkspaceKey};
use flow::{Entry, Flow, Lane};

/// Virtual time that one dispatch costs a workspace of weight one.
const COST: u64 = 1 << 20;

/// Place of a flow in the order of turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Turn {
    tag: u64,
    pub workspace: WorkspaceKey,
}

/// The waiting requests of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    flows: Map<WorkspaceKey, Flow>,
    /// Flows with waiting requests whose workspace is below its share.
    ready: BTreeSet<Turn>,
    /// Start tag of the last dispatch.
    clock: u64,
    len: usize,
    /// Sum of the weights of the flows with waiting requests.
    weights: u64,
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
    pub fn turns(&self, workspace: WorkspaceKey, weight: u32) -> f64 {
        let own = self.len_of(workspace);
        let weight = u64::from(weight.max(1));
        let others = if own == 0 { weight } else { 0 };
        let part = weight as f64 / (self.weights + others) as f64;
        ((own + 1) as f64 / part).min((self.len + 1) as f64)
    }

    /// Adds a request.
    pub fn push(&mut self, workspace: WorkspaceKey, weight: u32, lane: Lane, entry: Entry) {
        let flow = self.flows.entry(workspace).or_default();
        if flow.is_empty() {
            flow.weight = weight.max(1);
            flow.tag = flow.tag.max(self.clock);
            self.weights += u64::from(flow.weight);
            if !flow.parked {
                self.ready.insert(Turn {
                    tag: flow.tag,
                    workspace,
                });
            }
        }
        flow.insert(lane, entry);
        self.len += 1;
    }

    /// Takes a request out; whether it was there.
    pub fn remove(&mut self, workspace: WorkspaceKey, lane: Lane, entry: Entry) -> bool {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return false;
        };
        if !flow.remove(lane, entry) {
            return false;
        }
        self.len -= 1;
        if flow.is_empty() {
            self.weights -= u64::from(flow.weight);
            self.ready.remove(&Turn {
                tag: flow.tag,
                workspace,
            });
        }
        true
    }

    /// The flows whose turn comes first, in order.
    pub fn turns_ahead(&self) -> impl Iterator<Item = Turn> + '_ {
        self.ready.iter().copied()
    }

    /// The first requests of a workspace, one for each set of versions that they accept, in order.
    pub fn heads(&self, workspace: WorkspaceKey) -> Vec<Entry> {
        self.flows.get(&workspace).map(Flow::heads).unwrap_or_default()
    }

    /// Charges a dispatch to a workspace; its next turn comes the later the smaller its weight.
    pub fn charge(&mut self, workspace: WorkspaceKey, weight: u32) {
        let flow = self.flows.entry(workspace).or_default();
        let start = flow.tag.max(self.clock);
        let waits = !flow.is_empty() && !flow.parked;
        if waits {
            self.ready.remove(&Turn {
                tag: flow.tag,
                workspace,
            });
        }
        self.clock = self.clock.max(start);
        flow.tag = start + COST / u64::from(weight.max(1));
        if waits {
            self.ready.insert(Turn {
                tag: flow.tag,
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
        self.ready.remove(&Turn {
            tag: flow.tag,
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
        self.ready.remove(&Turn {
            tag: flow.tag,
            workspace,
        });
        flow.tag = flow.tag.max(self.clock);
        self.ready.insert(Turn {
            tag: flow.tag,
            workspace,
        });
    }

    /// Forgets a workspace without waiting requests.
    pub fn forget(&mut self, workspace: WorkspaceKey) {
        self.flows.swap_remove(&workspace);
    }

    /// Every waiting request.
    pub fn calls(&self) -> Vec<CallKey> {
        self.flows.values().flat_map(Flow::calls).collect()
    }
}
