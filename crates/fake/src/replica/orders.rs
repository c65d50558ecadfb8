//! Orders received and the resulting state.

use base::Millis;
use serde::Serialize;

use super::Order;
use super::order::Action;

/// Whether fencing tokens are checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// An order with a lower token than an earlier one is refused.
    #[default]
    Checked,
    /// Every order is executed.
    Ignored,
}

/// State of a replica as set by orders.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Orders {
    fencing: Fencing,
    highest: u64,
    /// Currently served version.
    pub version: String,
    /// Currently served model.
    pub model: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Current role.
    pub role: String,
    /// Orders received, both executed and refused.
    pub log: Vec<Received>,
    #[serde(skip)]
    pending: Vec<Pending>,
}

/// Order received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Received {
    /// The order.
    pub order: Order,
    /// Whether the order was accepted for execution.
    pub obeyed: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    done: Millis,
    action: Action,
}

impl Orders {
    /// Creates the state of a replica that serves `version`.
    pub fn new(version: &str, fencing: Fencing) -> Self {
        Self {
            fencing,
            version: version.to_owned(),
            ..Self::default()
        }
    }

    /// Processes an order whose load takes `load_time`. Returns false if its fencing token is refused.
    pub fn receive(&mut self, now: Millis, order: Order, load_time: Millis) -> bool {
        let obeyed = self.fencing == Fencing::Ignored || order.fencing >= self.highest;
        self.log.push(Received {
            order: order.clone(),
            obeyed,
        });
        if !obeyed {
            return false;
        }
        self.highest = self.highest.max(order.fencing);
        // Loads run one after another, since they share the throughput of the weight store.
        let start = self.pending.last().map_or(now, |last| last.done.max(now));
        let done = start + load_time;
        let action = order.action;
        self.pending.push(Pending { done, action });
        true
    }

    /// Finishes the loads that are due. Returns whether there were any.
    pub fn finish_loads(&mut self, now: Millis) -> bool {
        let due = self
            .pending
            .iter()
            .take_while(|pending| pending.done <= now)
            .count();
        let finished = self.pending.drain(..due).collect::<Vec<_>>();
        for pending in finished {
            self.apply(pending.action);
        }
        due > 0
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::LoadModel { model } => self.model = model,
            Action::LoadAdapter { adapter } => self.adapters.push(adapter),
            Action::LoadVersion { version } => self.version = version,
            Action::Role { role } => self.role = role,
        }
    }
}
