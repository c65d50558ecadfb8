//! Moves of endpoints to other versions, as the nodes keep them in the store.

use std::sync::Arc;

use indexmap::IndexMap;
use place::VersionFilter;
use serde::{Deserialize, Serialize};

use crate::edge::RolloutOrder;

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets a small part of the requests.
    Canary,
    /// The new version gets all requests; the old replicas still finish theirs.
    Moved,
    /// The move is done; only the new version is used.
    Done,
    /// The move was taken back; only the old version is used.
    Undone,
}

/// The nodes' record of a move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version before the move; empty if none was known.
    pub from: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Revision of the order that it answers.
    pub order: u64,
    /// When it was taken up, in Unix milliseconds.
    pub since_ms: u64,
    /// When the stage was entered, in Unix milliseconds.
    pub stage_since_ms: u64,
    /// How far it has come.
    pub stage: Stage,
    /// Part of the requests that the new version gets in the canary stage.
    pub share: f64,
    /// What led to the stage.
    pub reason: String,
}

/// Orders and records by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    /// Orders and their revisions.
    pub orders: IndexMap<Arc<str>, (RolloutOrder, u64)>,
    /// Records.
    pub records: IndexMap<Arc<str>, Rollout>,
    /// Endpoints whose new version this node has seen to be bad, and the order's revision.
    pub vetoed: IndexMap<Arc<str>, u64>,
}

/// Versions that a request may go to, kept by the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Versions {
    /// Any version.
    #[default]
    Any,
    /// This version only.
    Only(Arc<str>),
    /// All versions but this one.
    Except(Arc<str>),
}

impl Versions {
    /// The same for a choice of replica.
    pub fn filter(&self) -> VersionFilter<'_> {
        match self {
            Self::Any => VersionFilter::Any,
            Self::Only(version) => VersionFilter::Only(version),
            Self::Except(version) => VersionFilter::Except(version),
        }
    }
}

impl Rollouts {
    /// Revision of the order that an endpoint is being moved by, and the version to move to.
    pub fn running(&self, endpoint: &str) -> Option<(u64, Arc<str>)> {
        let record = self.records.get(endpoint)?;
        let runs = matches!(record.stage, Stage::Canary | Stage::Moved);
        runs.then(|| (record.order, Arc::clone(&record.target)))
    }

    /// Versions that a request to the endpoint may go to, for a draw from 0 to 1.
    ///
    /// A version that was ordered and has no record yet gets nothing.
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
