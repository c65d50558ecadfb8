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
pub(super) struct Notes {
    pub disruptions: Vec<Disruption>,
    pub revocations: Vec<Revocation>,
    pub findings: Vec<Finding>,
}

impl Run {
    /// Notes that a node will be paused from now on: other faults ask meanwhile whether it is.
    pub(super) fn announce_pause(&self, target: Target, from: Millis, span: Duration) {
        let to = from + Millis(span.as_millis() as u64);
        self.note(target, Cause::Paused, from, to);
    }

    /// Notes that something was done to a node from then until now.
    pub(super) fn disturb(&self, target: Target, cause: Cause, from: Millis) {
        self.note(target, cause, from, self.load.now());
    }

    pub(super) fn note(&self, target: Target, cause: Cause, from: Millis, to: Millis) {
        let Target::Node(node) = target else { return };
        self.notes().disruptions.push(Disruption {
            node,
            cause,
            from,
            to,
        });
    }

    pub(super) fn find(&self, rule: Rule, seen: String) {
        self.notes().findings.push(Finding::new(rule, seen));
    }

    pub(super) fn notes(&self) -> MutexGuard<'_, Notes> {
        self.notes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a node was paused at some time since then.
    pub(super) fn was_paused(&self, node: usize, since: Millis) -> bool {
        let to = self.load.now();
        let notes = self.notes();
        let mut pauses = notes.disruptions.iter().filter(|it| it.cause == Cause::Paused);
        pauses.any(|it| it.node == node && it.overlaps(since, to))
    }
}
