//! Outcomes of requests at both versions of endpoints with a running rollout.

use std::sync::{Arc, MutexGuard};

use base::Millis;
use indexmap::IndexMap;

use super::{Shared, lock};
use crate::publish::Comparison;

/// An event of a request at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request was sent.
    Start,
    /// The response or its first event arrived after this time.
    Answer(Millis),
    /// The request ended.
    End {
        /// Whether it failed; `None` if the outcome does not depend on the version.
        failed: Option<bool>,
    },
}

impl Shared {
    /// Outcomes of requests at both versions, by endpoint with a running rollout.
    pub fn comparisons(&self) -> MutexGuard<'_, IndexMap<Arc<str>, Comparison>> {
        lock(&self.comparisons)
    }

    /// Counts the start or end of a request if the endpoint has a running rollout.
    pub fn record_version_event(&self, endpoint: &Arc<str>, version: &str, event: RequestEvent) {
        let Some((order, target)) = self.view().rollouts.running(endpoint) else {
            return;
        };
        let mut comparisons = lock(&self.comparisons);
        let comparison = comparisons.entry(Arc::clone(endpoint)).or_default();
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
            RequestEvent::Answer(latency) => comparison.tally(is_new).record_answer(latency),
            RequestEvent::End { failed } => {
                if let Some(failed) = failed {
                    comparison.tally(is_new).record_end(failed);
                }
                if !is_new {
                    comparison.old_in_flight = comparison.old_in_flight.saturating_sub(1);
                }
            }
        }
    }
}
