//! Rollouts, as the nodes record them in the store.

use std::sync::Arc;

use indexmap::IndexMap;
use place::VersionFilter;
use rollout::Exclusions;
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
    /// Versions that get no requests, besides those that the stage excludes. Earlier builds write none.
    #[serde(default, skip_serializing_if = "Exclusions::is_empty")]
    pub excluded: Exclusions,
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

    /// The version that had the traffic before a later order, which goes on with it; empty if unknown. A version whose rollout
    /// did not complete has it no longer.
    fn settled(&self) -> &Arc<str> {
        match self.stage {
            Stage::Done => &self.target,
            Stage::Canary | Stage::Moved | Stage::Undone => &self.from,
        }
    }

    /// The version that a later order leaves without requests.
    fn left_behind(&self) -> &Arc<str> {
        match self.stage {
            Stage::Done => &self.from,
            Stage::Canary | Stage::Moved | Stage::Undone => &self.target,
        }
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
    /// Versions that get no requests, as far as this node has seen rollouts end or give way to others. Leaders of earlier builds
    /// don't record them.
    excluded: IndexMap<Arc<str>, Exclusions>,
    /// The only version of endpoints that had an order and no record of a rollout.
    only_versions: IndexMap<Arc<str>, Arc<str>>,
}

/// Versions allowed for a request, as an owned value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Versions {
    /// Any version.
    #[default]
    Any,
    /// This version only.
    Only(Arc<str>),
    /// All versions except these.
    Except(Arc<[Arc<str>]>),
}

impl Versions {
    /// All versions except the excluded ones.
    fn without(excluded: Exclusions) -> Self {
        if excluded.is_empty() {
            Self::Any
        } else {
            Self::Except(excluded.into_versions())
        }
    }

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

    /// Goes on with the rollout of an order that was lost and is written again with the revision `after`.
    pub fn resume(&mut self, endpoint: &Arc<str>, record: Option<&Rollout>, is_vetoed: bool, after: u64) {
        if let Some(record) = record {
            let record = Rollout {
                order: after,
                ..record.clone()
            };
            self.put_record(Arc::clone(endpoint), record);
        }
        if is_vetoed {
            self.vetoed.insert(Arc::clone(endpoint), after);
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

    /// Takes a record. What the one before it leaves behind gets no more requests if it is of another rollout.
    pub fn put_record(&mut self, endpoint: Arc<str>, record: Rollout) {
        let excluded = self.excluded.entry(Arc::clone(&endpoint)).or_default();
        if let Some(before) = self.records.get(&endpoint)
            && (before.order, &before.target) != (record.order, &record.target)
        {
            excluded.extend(&before.excluded);
            let is_vetoed = self.vetoed.get(&endpoint) == Some(&before.order);
            let goes_on = before.stage == Stage::Moved && before.target == record.from && !is_vetoed;
            excluded.insert(if goes_on {
                &before.from
            } else {
                before.left_behind()
            });
        }
        excluded.extend(&record.excluded);
        excluded.remove(&record.target);
        self.records.insert(endpoint, record);
    }

    /// Notes that all replicas of an endpoint have this version.
    pub fn note_only_version(&mut self, endpoint: Arc<str>, version: Arc<str>) {
        self.only_versions.insert(endpoint, version);
    }

    /// Whether the endpoint's traffic goes to this version already, so that an order for it changes nothing.
    pub fn is_settled(&self, endpoint: &str, version: &str) -> bool {
        let settled = match self.records.get(endpoint) {
            Some(record) => Some(record.settled()),
            None => self.only_versions.get(endpoint),
        };
        settled.is_some_and(|settled| **settled == *version)
    }

    /// Versions that get no requests once this one is ordered, apart from itself.
    pub fn excluded_by_order(&self, endpoint: &str, target: &str) -> Exclusions {
        let mut excluded = self.known_exclusions(endpoint);
        if let Some(record) = self.records.get(endpoint) {
            excluded.insert(record.left_behind());
        }
        excluded.remove(target);
        excluded
    }

    fn known_exclusions(&self, endpoint: &str) -> Exclusions {
        let mut excluded = self.excluded.get(endpoint).cloned().unwrap_or_default();
        if let Some(record) = self.records.get(endpoint) {
            excluded.extend(&record.excluded);
        }
        excluded
    }

    /// Versions allowed for a request to the endpoint; `draw` is a random number from 0 to 1.
    ///
    /// The target of an order that has no record yet receives no requests, unless it has the traffic already. Versions that
    /// were rolled back, replaced or given up for a later order receive none until they are ordered again.
    pub fn versions(&self, endpoint: &str, draw: f64) -> Versions {
        let order = self.orders.get(endpoint);
        let record = self.records.get(endpoint);
        if let Some((order, revision)) = order
            && record.is_none_or(|record| record.order < *revision)
        {
            return self.versions_before_start(endpoint, &order.target);
        }
        let Some(record) = record else {
            return Versions::without(self.known_exclusions(endpoint));
        };
        let is_vetoed = self.vetoed.get(endpoint) == Some(&record.order);
        let excluded = match record.stage {
            Stage::Canary if !is_vetoed && draw < record.share => {
                return Versions::Only(Arc::clone(&record.target));
            }
            Stage::Moved if !is_vetoed => return Versions::Only(Arc::clone(&record.target)),
            Stage::Canary | Stage::Moved | Stage::Undone => &record.target,
            Stage::Done => &record.from,
        };
        let mut exclusions = self.known_exclusions(endpoint);
        exclusions.insert(excluded);
        Versions::without(exclusions)
    }

    /// Versions allowed while the order for `target` has no record.
    fn versions_before_start(&self, endpoint: &str, target: &Arc<str>) -> Versions {
        if let Some(record) = self.records.get(endpoint)
            && record.stage == Stage::Moved
            && record.from.is_empty()
            && record.target != *target
        {
            // No other version is known that could have the traffic.
            return Versions::Only(Arc::clone(&record.target));
        }
        let mut excluded = self.excluded_by_order(endpoint, target);
        if !self.is_settled(endpoint, target) {
            excluded.insert(target);
        }
        Versions::without(excluded)
    }
}
