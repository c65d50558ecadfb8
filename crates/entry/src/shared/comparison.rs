//! Outcomes of requests at both versions of endpoints with a running rollout.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;

use super::{Shared, lock};
use crate::publish::Comparison;

/// An event of a request at a version, after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The response or its first event arrived after this time.
    Answer(Millis),
    /// The request ended.
    End {
        /// Whether it failed; `None` if the outcome does not depend on the version.
        failed: Option<bool>,
    },
}

/// Number of a rollout at this node, which stays when its order gets another revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutNumber(u64);

/// Outcomes at the versions of an endpoint's latest rollout.
#[derive(Debug, Default)]
pub struct Outcomes {
    number: RolloutNumber,
    comparison: Comparison,
}

impl Shared {
    /// Outcomes of requests at both versions, by endpoint with a running rollout.
    pub fn comparisons(&self) -> IndexMap<Arc<str>, Comparison> {
        let outcomes = lock(&self.outcomes);
        let all = outcomes.iter();
        all.map(|(endpoint, it)| (Arc::clone(endpoint), it.comparison))
            .collect()
    }

    /// Counts the start of a request if the endpoint has a running rollout, and returns the rollout's number.
    pub fn record_version_start(&self, endpoint: &Arc<str>, version: &str) -> Option<RolloutNumber> {
        let (order, target) = self.view().rollouts.running(endpoint)?;
        let mut outcomes = lock(&self.outcomes);
        let next = RolloutNumber(outcomes.values().map(|it| it.number.0).max().unwrap_or(0) + 1);
        let outcomes = outcomes.entry(Arc::clone(endpoint)).or_default();
        if outcomes.comparison.order != order {
            outcomes.number = next;
            outcomes.comparison = Comparison {
                order,
                ..Comparison::default()
            };
        }
        outcomes.comparison.old_in_flight += u64::from(version != &*target);
        Some(outcomes.number)
    }

    /// Counts the answer or the end of a request that was started in a rollout. Requests of an earlier rollout, or from before,
    /// say nothing of this one.
    pub fn record_version_event(
        &self,
        endpoint: &Arc<str>,
        version: &str,
        number: RolloutNumber,
        event: RequestEvent,
    ) {
        let Some((_, target)) = self.view().rollouts.running(endpoint) else {
            return;
        };
        let mut outcomes = lock(&self.outcomes);
        let Some(outcomes) = outcomes.get_mut(endpoint).filter(|it| it.number == number) else {
            return;
        };
        let comparison = &mut outcomes.comparison;
        let is_new = version == &*target;
        match event {
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

    /// Keeps the outcomes of a rollout whose order got the revision `after`, since it was written again.
    pub fn renumber_comparison(&self, endpoint: &str, before: u64, after: u64) {
        let mut outcomes = lock(&self.outcomes);
        let outcomes = outcomes.get_mut(endpoint);
        if let Some(outcomes) = outcomes.filter(|it| it.comparison.order == before) {
            outcomes.comparison.order = after;
        }
    }
}
