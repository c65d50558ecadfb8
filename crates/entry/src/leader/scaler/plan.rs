//! The record of the loads that orders are based on, from which a later leader goes on.

use std::sync::Arc;

use base::Millis;
use bytes::Bytes;
use fleet::capacity::Load;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use store::{Condition, Write};

use crate::Shared;

/// Key of the record, after the internal prefix.
const KEY: &str = "plan";
/// Minimum interval between writes of the record.
const WRITE_INTERVAL: Millis = Millis(2_000);

/// The loads that orders are based on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Plan {
    /// Load by endpoint.
    loads: IndexMap<Arc<str>, Load>,
}

/// Load on which a leader based its orders for an endpoint.
pub(super) fn read(shared: &Shared, endpoint: &Arc<str>) -> Option<Load> {
    let value = shared.view().internal.get(KEY)?.value.clone();
    let plan: Plan = serde_json::from_slice(&value)
        .inspect_err(|error| log::warn!(cause:% = error; "invalid record of planned loads"))
        .ok()?;
    plan.loads.get(endpoint).copied()
}

/// Writes the record when the loads change.
#[derive(Clone, Debug, Default)]
pub(super) struct Writer {
    written: IndexMap<Arc<str>, Load>,
    /// Era of the store in which they were written.
    era: u64,
    not_before: Millis,
}

impl Writer {
    /// Writes the loads unless they are written already.
    pub async fn write(&mut self, shared: &Shared, loads: IndexMap<Arc<str>, Load>) {
        let now = shared.now();
        let is_written = loads == self.written && self.era == shared.store.era();
        if loads.is_empty() || is_written || now < self.not_before {
            return;
        }
        self.not_before = now + WRITE_INTERVAL;
        let plan = Plan { loads };
        let key = format!("{}{KEY}", shared.edge.internal_prefix());
        let value = match serde_json::to_vec(&plan) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                log::error!(cause:% = error; "failed to encode the planned loads");
                return;
            }
        };
        let write = Write::new(key, value, Condition::Any);
        match shared.store.write_once(&write).await {
            Ok(revision) => {
                self.written = plan.loads;
                self.era = revision.era;
            }
            Err(error) => log::warn!(cause:% = error; "planned loads not recorded"),
        }
    }
}
