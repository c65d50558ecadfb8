//! Rollouts, as the nodes record them in the store.

use std::sync::Arc;

use indexmap::IndexMap;
use place::VersionFilter;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::edge::RolloutOrder;

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version receives a small share of the requests.
    Canary,
    /// The new version receives all requests, while the old replicas finish theirs.
    Moved,
    /// The rollout is complete; only the new version is used.
    Done,
    /// The rollout was rolled back; only the old version is used.
    Undone,
}

impl Stage {
    /// Position in the order of the stages, of which the last two are alternatives.
    const fn position(self) -> u8 {
        match self {
            Self::Canary => 0,
            Self::Moved => 1,
            Self::Done | Self::Undone => 2,
        }
    }
}

/// The nodes' record of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version before the rollout; empty if unknown.
    pub from: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Revision of the order that the rollout carries out.
    pub order: u64,
    /// When the rollout started, in Unix milliseconds.
    pub since_ms: u64,
    /// When the stage was entered, in Unix milliseconds.
    pub stage_since_ms: u64,
    /// The current stage.
    pub stage: Stage,
    /// Share of the requests that the new version receives in the canary stage.
    pub share: f64,
    /// Answers of the new version that had begun when the stage was entered.
    #[serde(default)]
    pub answered_at_move: u64,
    /// Why the stage was entered.
    pub reason: String,
    /// Fields of later builds, which are kept.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

impl Rollout {
    /// Whether a stored record is of a later build, which this one can't read, and concerns the order of this revision or a later
    /// one. Only nodes that read it may change it.
    pub fn is_of_later_build(stored: &[u8], order: u64) -> bool {
        if serde_json::from_slice::<Self>(stored).is_ok() {
            return false;
        }
        let Ok(Value::Object(fields)) = serde_json::from_slice(stored) else {
            return false;
        };
        let recorded = fields.get("order").and_then(Value::as_u64);
        recorded.is_some_and(|recorded| recorded >= order)
    }

    /// Whether this is a later stage of the same rollout. Stages never go back, except in a store that is restored from a
    /// copy.
    pub fn is_later_than(&self, other: &Self) -> bool {
        let is_same = self.order == other.order && self.target == other.target;
        is_same && self.stage.position() > other.stage.position()
    }
}

/// Rollout orders and records, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    /// Orders with their revisions.
    pub orders: IndexMap<Arc<str>, (RolloutOrder, u64)>,
    /// The nodes' records.
    pub records: IndexMap<Arc<str>, Rollout>,
    /// Endpoints whose new version this node found to be bad, with the revision of the order.
    pub vetoed: IndexMap<Arc<str>, u64>,
}

/// Versions allowed for a request, as an owned value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Versions {
    /// Any version.
    #[default]
    Any,
    /// This version only.
    Only(Arc<str>),
    /// All versions except this one.
    Except(Arc<str>),
}

impl Versions {
    /// Converts this into a filter for replica selection.
    pub fn filter(&self) -> VersionFilter<'_> {
        match self {
            Self::Any => VersionFilter::Any,
            Self::Only(version) => VersionFilter::Only(version),
            Self::Except(version) => VersionFilter::Except(version),
        }
    }
}

impl Rollouts {
    /// Order revision and target version of the endpoint's running rollout.
    pub fn running(&self, endpoint: &str) -> Option<(u64, Arc<str>)> {
        let record = self.records.get(endpoint)?;
        let runs = matches!(record.stage, Stage::Canary | Stage::Moved);
        runs.then(|| (record.order, Arc::clone(&record.target)))
    }

    /// Gives the endpoint's rollout the new revision of an order that was written again.
    pub fn renumber(&mut self, endpoint: &str, before: u64, after: u64) {
        let record = self.records.get_mut(endpoint);
        if let Some(record) = record.filter(|record| record.order == before) {
            record.order = after;
        }
        let vetoed = self.vetoed.get_mut(endpoint);
        if let Some(vetoed) = vetoed.filter(|vetoed| **vetoed == before) {
            *vetoed = after;
        }
    }

    /// Whether an order for the endpoint is neither done nor undone.
    pub fn is_open(&self, endpoint: &str) -> bool {
        let Some((_, revision)) = self.orders.get(endpoint) else {
            return false;
        };
        let record = self.records.get(endpoint);
        let record = record.filter(|record| record.order >= *revision);
        record.is_none_or(|record| matches!(record.stage, Stage::Canary | Stage::Moved))
    }

    /// Versions allowed for a request to the endpoint; `draw` is a random number from 0 to 1.
    ///
    /// The target of an order that has no record yet receives no requests.
    pub fn versions(&self, endpoint: &str, draw: f64) -> Versions {
        let order = self.orders.get(endpoint);
        let record = self.records.get(endpoint);
        if let Some((order, revision)) = order
            && record.is_none_or(|record| record.order < *revision)
        {
            return Versions::Except(Arc::clone(&order.target));
        }
        let Some(record) = record else {
            return Versions::Any;
        };
        let is_vetoed = self.vetoed.get(endpoint) == Some(&record.order);
        let target = Arc::clone(&record.target);
        match record.stage {
            Stage::Canary if !is_vetoed && draw < record.share => Versions::Only(target),
            Stage::Moved if !is_vetoed => Versions::Only(target),
            Stage::Canary | Stage::Moved | Stage::Undone => Versions::Except(target),
            Stage::Done if record.from.is_empty() => Versions::Any,
            Stage::Done => Versions::Except(Arc::clone(&record.from)),
        }
    }
}
