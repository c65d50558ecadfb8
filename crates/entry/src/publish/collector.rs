//! Reports that a node writes to the store for itself and for the nodes that sent it theirs.

use std::sync::Arc;

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::{Report, Summary};

/// Delay of a write after the first new report, in which the other nodes' reports arrive.
pub const COLLECT_DELAY: Millis = Millis(400);

/// Collects reports until they are written in one record.
#[derive(Debug, Default)]
pub struct Collector {
    summary: Summary,
    received_at: IndexMap<Incarnation, Millis>,
    /// When the first report arrived that has not been written.
    unwritten_since: Option<Millis>,
}

impl Collector {
    /// Adds a report. An older one than the known one changes nothing.
    pub fn insert(&mut self, now: Millis, node: Incarnation, report: Arc<Report>) {
        if self.summary.insert(node, report) {
            self.received_at.insert(node, now);
            self.unwritten_since.get_or_insert(now);
        }
    }

    /// When the reports are to be written; `None` if all are.
    pub fn due_at(&self) -> Option<Millis> {
        self.unwritten_since.map(|since| since + COLLECT_DELAY)
    }

    /// Takes the reports to write, without those that are older than `max_age`, which a later leader does not need.
    pub fn take(&mut self, now: Millis, max_age: Millis) -> Summary {
        self.received_at.retain(|_, at| now.since(*at) < max_age);
        let received_at = &self.received_at;
        self.summary
            .reports
            .retain(|node, _| received_at.contains_key(node));
        self.unwritten_since = None;
        self.summary.clone()
    }

    /// Keeps the reports of a write that failed for the next one.
    pub fn restore(&mut self, now: Millis) {
        self.unwritten_since.get_or_insert(now);
    }
}
