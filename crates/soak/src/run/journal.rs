//! What was done and found while a run is played.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use base::Millis;

use super::Run;
use crate::disruption::{Cause, Disruption, Revocation};
use crate::finding::{Finding, Rule};
use crate::plan::Target;

/// What was done and found so far.
#[derive(Debug, Default)]
pub(super) struct Journal {
    pub disruptions: Vec<Disruption>,
    pub revocations: Vec<Revocation>,
    pub findings: Vec<Finding>,
}

impl Run {
    /// Notes that a node will be paused from now on: other faults ask meanwhile whether it is.
    pub(super) fn record_planned_pause(&self, target: Target, from: Millis, span: Duration) {
        let to = from + Millis(span.as_millis() as u64);
        self.record(target, Cause::Paused, from, to);
    }

    /// Notes that something was done to a node from then until now.
    pub(super) fn record_until_now(&self, target: Target, cause: Cause, from: Millis) {
        self.record(target, cause, from, self.load.now());
    }

    pub(super) fn record(&self, target: Target, cause: Cause, from: Millis, to: Millis) {
        let Target::Node(node) = target else { return };
        self.journal().disruptions.push(Disruption {
            node,
            cause,
            from,
            to,
        });
    }

    pub(super) fn report(&self, rule: Rule, details: String) {
        self.journal().findings.push(Finding::new(rule, details));
    }

    pub(super) fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a node was paused at some time since then.
    pub(super) fn was_paused(&self, node: usize, since: Millis) -> bool {
        let to = self.load.now();
        let journal = self.journal();
        let mut pauses = journal.disruptions.iter().filter(|it| it.cause == Cause::Paused);
        pauses.any(|it| it.node == node && it.overlaps(since, to))
    }
}
