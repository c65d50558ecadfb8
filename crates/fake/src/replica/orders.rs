//! Orders met, and the state they lead to.

use base::Millis;
use serde::Serialize;

use super::Order;
use super::order::Action;

/// Whether fencing numbers are checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// An order with a lower number than one before is refused.
    #[default]
    Checked,
    /// Every order is obeyed.
    Ignored,
}

/// What a replica has been ordered to be.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Orders {
    fencing: Fencing,
    highest: u64,
    /// Version served now.
    pub version: String,
    /// Model served now.
    pub model: String,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Role held.
    pub role: String,
    /// Orders met, obeyed or not.
    pub log: Vec<Received>,
    #[serde(skip)]
    pending: Vec<Pending>,
}

/// An order met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Received {
    /// The order.
    pub order: Order,
    /// Whether it was obeyed.
    pub obeyed: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    done: Millis,
    action: Action,
}

impl Orders {
    /// A replica that serves `version` and checks fencing or not.
    pub fn new(version: &str, fencing: Fencing) -> Self {
        Self {
            fencing,
            version: version.to_owned(),
            ..Self::default()
        }
    }

    /// Meets an order whose load takes `load`; false if its number is refused.
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
        // One load runs after another: the weight store's rate is shared.
        let start = self.pending.last().map_or(now, |last| last.done.max(now));
        let done = start + load_time;
        let action = order.action;
        self.pending.push(Pending { done, action });
        true
    }

    /// Finishes loads that are due; whether there were any.
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
