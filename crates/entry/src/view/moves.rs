//! Moves of endpoints to other versions, as the nodes keep them in the store.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::edge::Move;

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
pub struct Record {
    /// Version before the move; empty if none was known.
    pub from: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Revision of the order that it answers.
    pub order: u64,
    /// How far it has come.
    pub stage: Stage,
    /// Part of the requests that the new version gets in the canary stage.
    pub share: f64,
    /// What led to the stage.
    pub reason: String,
}

/// Orders and records by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    /// Orders and their revisions.
    pub orders: IndexMap<Arc<str>, (Move, u64)>,
    /// Records.
    pub records: IndexMap<Arc<str>, Record>,
    /// Endpoints whose new version this node has seen to be bad, and the order's revision.
    pub vetoed: IndexMap<Arc<str>, u64>,
}

impl Moves {
    /// Version that a request to the endpoint must go to, for a draw from 0 to 1; `None` if any will do.
    pub fn version(&self, endpoint: &str, draw: f64) -> Option<&Arc<str>> {
        let record = self.records.get(endpoint);
        let order = self.orders.get(endpoint);
        let is_vetoed = |revision: u64| self.vetoed.get(endpoint) == Some(&revision);
        let Some(record) = record else {
            return None;
        };
        // An order that no record answers yet: everything stays at the version that is in use.
        if let Some((_, revision)) = order
            && *revision > record.order
        {
            return record.settled();
        }
        let goes_to_target = match record.stage {
            Stage::Canary => !is_vetoed(record.order) && draw < record.share,
            Stage::Moved => !is_vetoed(record.order),
            Stage::Done => true,
            Stage::Undone => false,
        };
        if goes_to_target {
            return Some(&record.target);
        }
        (!record.from.is_empty()).then_some(&record.from)
    }
}

impl Record {
    /// Version in use before any later order.
    pub fn settled(&self) -> Option<&Arc<str>> {
        match self.stage {
            Stage::Done | Stage::Moved => Some(&self.target),
            Stage::Canary | Stage::Undone => (!self.from.is_empty()).then_some(&self.from),
        }
    }
}
