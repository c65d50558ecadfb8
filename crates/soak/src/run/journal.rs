//! Records disruptions, revocations and findings during a run.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use base::Millis;

use super::Run;
use crate::disruption::{Cause, Disruption, Revocation};
use crate::finding::{Finding, Rule};
use crate::plan::Target;

/// Events and findings of a run so far.
#[derive(Debug, Default)]
pub(super) struct Journal {
    pub disruptions: Vec<Disruption>,
    pub revocations: Vec<Revocation>,
    pub findings: Vec<Finding>,
}

impl Run {
    /// Records a pause before it begins, because concurrent faults check whether the node is paused.
    pub(super) fn record_planned_pause(&self, target: Target, from: Millis, span: Duration) {
        let to = from + Millis(span.as_millis() as u64);
        self.record(target, Cause::Paused, from, to);
    }

    /// Records a disruption of a node that lasted from `from` until now.
    pub(super) fn record_until_now(&self, target: Target, cause: Cause, from: Millis) {
        self.record(target, cause, from, self.workload.now());
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

    /// Whether a node was paused at any time since `since`.
    pub(super) fn was_paused(&self, node: usize, since: Millis) -> bool {
        let to = self.workload.now();
        let journal = self.journal();
        let mut pauses = journal.disruptions.iter().filter(|it| it.cause == Cause::Paused);
        pauses.any(|it| it.node == node && it.overlaps(since, to))
    }
}
