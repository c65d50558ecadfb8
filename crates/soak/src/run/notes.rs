//! What was done and found while a run is played.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use base::Millis;

use super::Run;
use crate::disturbance::{Disturbance, Removal, What};
use crate::finding::{Finding, Rule};
use crate::plan::Process;

/// What was done and found so far.
#[derive(Debug, Default)]
pub(super) struct Notes {
    pub disturbances: Vec<Disturbance>,
    pub removals: Vec<Removal>,
    pub findings: Vec<Finding>,
}

impl Run {
    /// Notes that a node will be paused from now on: other faults ask meanwhile whether it is.
    pub(super) fn announce_pause(&self, process: Process, from: Millis, span: Duration) {
        let to = from + Millis(span.as_millis() as u64);
        self.note(process, What::Paused, from, to);
    }

    /// Notes that something was done to a node from then until now.
    pub(super) fn disturb(&self, process: Process, what: What, from: Millis) {
        self.note(process, what, from, self.load.now());
    }

    pub(super) fn note(&self, process: Process, what: What, from: Millis, to: Millis) {
        let Process::Node(node) = process else { return };
        self.notes()
            .disturbances
            .push(Disturbance { node, what, from, to });
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
        let mut pauses = notes.disturbances.iter().filter(|it| it.what == What::Paused);
        pauses.any(|it| it.node == node && it.meets(since, to))
    }
}
