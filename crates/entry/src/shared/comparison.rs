//! Ends of requests at both versions of endpoints that are being moved.

use std::sync::{Arc, MutexGuard};

use base::Millis;
use indexmap::IndexMap;

use super::{Shared, lock};
use crate::publish::Comparison;

/// What happened to a request at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
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
    pub fn comparisons(&self) -> MutexGuard<'_, IndexMap<Arc<str>, Comparison>> {
        lock(&self.comparisons)
    }

    /// Counts the start or end of a request at an endpoint that is being moved.
    pub fn record_version_event(&self, endpoint: &Arc<str>, version: &str, event: RequestEvent) {
        let Some((order, target)) = self.view().rollouts.running(endpoint) else {
            return;
        };
        let mut all = lock(&self.comparisons);
        let comparison = all.entry(Arc::clone(endpoint)).or_default();
        if comparison.order != order {
            *comparison = Comparison {
                order,
                ..Comparison::default()
            };
        }
        let is_new = version == &*target;
        match event {
            RequestEvent::Start if !is_new => comparison.old_in_flight += 1,
            RequestEvent::Start => {}
            RequestEvent::End { failed, latency } => {
                let tally = if is_new {
                    &mut comparison.new
                } else {
                    &mut comparison.old
                };
                if let Some(failed) = failed {
                    tally.record(failed, latency);
                }
                if !is_new {
                    comparison.old_in_flight = comparison.old_in_flight.saturating_sub(1);
                }
            }
        }
    }
}
