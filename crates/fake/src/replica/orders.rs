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
    pub log: Vec<Met>,
    #[serde(skip)]
    loading: Vec<Loading>,
}

/// An order met.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Met {
    /// The order.
    pub order: Order,
    /// Whether it was obeyed.
    pub obeyed: bool,
}

#[derive(Clone, Debug)]
struct Loading {
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
    pub fn meet(&mut self, now: Millis, order: Order, load: Millis) -> bool {
        let obeyed = self.fencing == Fencing::Ignored || order.fencing >= self.highest;
        self.log.push(Met {
            order: order.clone(),
            obeyed,
        });
        if !obeyed {
            return false;
        }
        self.highest = self.highest.max(order.fencing);
        // One load runs after another: the weight store's rate is shared.
        let start = self.loading.last().map_or(now, |last| last.done.max(now));
        let done = start + load;
        let action = order.action;
        self.loading.push(Loading { done, action });
        true
    }

    /// Finishes loads that are due; whether there were any.
    pub fn settle(&mut self, now: Millis) -> bool {
        let due = self
            .loading
            .iter()
            .take_while(|loading| loading.done <= now)
            .count();
        let finished = self.loading.drain(..due).collect::<Vec<_>>();
        for loading in finished {
            self.apply(loading.action);
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
