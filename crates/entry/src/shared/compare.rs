//! Ends of requests at both versions of endpoints that are being moved.

use std::sync::{Arc, MutexGuard};

use base::Millis;
use indexmap::IndexMap;

use super::{Shared, lock};
use crate::publish::Compared;

/// What happened to a request at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// It was sent.
    Start,
    /// It ended.
    End {
        /// Whether it failed; `None` if the end says nothing about the version.
        failed: Option<bool>,
        /// Time until the answer or its first event.
        latency: Option<Millis>,
    },
}

impl Shared {
    /// Ends of requests at both versions of endpoints that are being moved.
    pub fn compared(&self) -> MutexGuard<'_, IndexMap<Arc<str>, Compared>> {
        lock(&self.compared)
    }

    /// Counts the start or end of a request at an endpoint that is being moved.
    pub fn compare(&self, endpoint: &Arc<str>, version: &str, mark: Mark) {
        let Some((order, target)) = self.view().moves.running(endpoint) else {
            return;
        };
        let mut all = lock(&self.compared);
        let compared = all.entry(Arc::clone(endpoint)).or_default();
        if compared.order != order {
            *compared = Compared {
                order,
                ..Compared::default()
            };
        }
        let is_new = version == &*target;
        match mark {
            Mark::Start if !is_new => compared.old_in_flight += 1,
            Mark::Start => {}
            Mark::End { failed, latency } => {
                let tally = if is_new {
                    &mut compared.new
                } else {
                    &mut compared.old
                };
                if let Some(failed) = failed {
                    tally.record(failed, latency);
                }
                if !is_new {
                    compared.old_in_flight = compared.old_in_flight.saturating_sub(1);
                }
            }
        }
    }
}
