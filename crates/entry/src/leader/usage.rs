//! Usage reports. They are written to the store before they are sent, so that a later leader sends the same counts.

use std::sync::Arc;

use base::{Incarnation, Millis, Revision};
use bytes::Bytes;
use indexmap::IndexMap;
use quota::{Counts, Horizon, Windows};
use serde::{Deserialize, Serialize};
use store::{Condition, Error, Write};

use super::Election;
use crate::Shared;
use crate::edge;
use crate::publish::{REPORTS_PREFIX, Report, Summary};

/// Key of the record of usage reports, after the internal prefix.
const KEY: &str = "usage";
/// Time after the end of a window at which its counts are summed, when the view has the nodes' last reports of it.
const SETTLE_TIME: Millis = Millis(2_600);
/// Time before the due time of a report at which it is no longer sent.
const DUE_MARGIN: Millis = Millis(100);
/// Delay after a failed call.
const RETRY_DELAY: Millis = Millis(400);
/// How far ahead of this node's clock that of another leader may have been.
const CLOCK_MARGIN: Millis = Millis(500);
/// Number of windows kept in the record, unless more can be due at the same time.
const KEPT_WINDOWS: u64 = 8;
/// Number of windows after which the reports of a node that is gone are deleted.
const STALE_AFTER_WINDOWS: u64 = 8;

/// The stored usage reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// Counts by window number, then by workspace.
    windows: Windows,
    /// Era of the store in which it was written. Earlier builds write none, and drop it and the next field.
    #[serde(default)]
    era: Option<u64>,
    /// Windows before this one that are not in the record may have been reported.
    #[serde(default)]
    lost_before: u64,
}

impl Record {
    /// Which windows that are not in the record may have been reported.
    const fn horizon(&self) -> Horizon {
        Horizon {
            era: self.era,
            before: self.lost_before,
        }
    }
}

/// Reports usage to the cloud.
#[derive(Debug)]
pub(super) struct UsageReporter {
    shared: Arc<Shared>,
    /// The stored counts as this node has known them in any era. Counts that were lost in a restore of the store may have
    /// been reported, and must not be reported differently.
    known: Windows,
    /// Revision of the record that was last added to them.
    known_at: Revision,
    /// Era of the store in which the windows were reported; `None` before the first one is noticed.
    era: Option<u64>,
    /// First window that was not due yet when this node noticed that era; 0 if it knows all that were reported before.
    due_at_restore: u64,
    /// Since when this node has held the role.
    held_since: Option<Millis>,
    /// Windows reported by this node.
    reported: Vec<u64>,
    not_before: Millis,
}

impl UsageReporter {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            known: Windows::new(),
            known_at: Revision::default(),
            era: None,
            due_at_restore: 0,
            held_since: None,
            reported: Vec::new(),
            not_before: Millis::ZERO,
        }
    }

    /// Reports the oldest window that is due.
    pub async fn tick(&mut self, election: &Election) {
        self.remember_stored();
        let now = self.shared.now();
        if !self.note_era(now) {
            return;
        }
        self.held_since = election.fence().map(|_fence| self.held_since.unwrap_or(now));
        if election.fence().is_none() || now < self.not_before {
            return;
        }
        let Some(window) = self.next_due(now) else { return };
        if let Err(cause) = self.report(election, window).await {
            log::warn!(window, cause; "usage not reported");
            self.not_before = self.shared.now() + RETRY_DELAY;
        }
    }

    /// Notes the era of the store; returns whether it is known. Windows that are not overdue are recorded and reported again
    /// once the store was restored: known counts stay, so the cloud gets exact repeats.
    fn note_era(&mut self, now: Millis) -> bool {
        let era = self.shared.store.era();
        if self.era == Some(era) {
            return true;
        }
        let Some(unix_ms) = self.shared.wall_clock().unix_ms(now) else {
            return false;
        };
        // A node that held the role for some time has reported itself all that was due.
        let knows_reports = self.held_since.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        let length = self.shared.settings().usage_window.0.max(1);
        self.due_at_restore = if knows_reports {
            0
        } else {
            (unix_ms + CLOCK_MARGIN.0).saturating_sub(SETTLE_TIME.0) / length
        };
        self.era = Some(era);
        self.reported.clear();
        true
    }

    /// Remembers the counts in the view's record.
    fn remember_stored(&mut self) {
        let stored = self.shared.view().internal.get(KEY).cloned();
        let Some(stored) = stored.filter(|stored| stored.revision != self.known_at) else {
            return;
        };
        self.known_at = stored.revision;
        match serde_json::from_slice::<Record>(&stored.value) {
            Ok(record) => self.known.merge(&record.windows, self.kept_windows()),
            Err(error) => log::warn!(cause:% = error; "invalid record of usage"),
        }
    }

    /// The oldest window that ended long enough ago, is not overdue, and was not reported by this node.
    fn next_due(&self, now: Millis) -> Option<u64> {
        let settings = self.shared.settings();
        let length = settings.usage_window.0.max(1);
        let unix_ms = self.shared.wall_clock().unix_ms(now)?;
        let last = unix_ms.checked_sub(SETTLE_TIME.0)? / length;
        let first = unix_ms.checked_sub((settings.usage_report_due - DUE_MARGIN).0)? / length;
        (first..last).find(|window| !self.reported.contains(window))
    }

    async fn report(&mut self, election: &Election, window: u64) -> Result<(), String> {
        let counts = self
            .load_or_write_counts(window)
            .await
            .map_err(|error| error.to_string())?;
        let Some(counts) = counts else {
            self.mark_reported(window);
            return Ok(());
        };
        let Some(fence) = election.fence() else {
            return Err("leader role lost before the call".to_owned());
        };
        let usage = edge::Usage { window, counts };
        self.shared
            .cloud
            .report(&|| election.fence(), &usage)
            .await
            .map_err(|error| error.to_string())?;
        let total: u64 = usage.counts.values().sum();
        log::info!(window, fence, requests = total; "usage reported");
        self.mark_reported(window);
        self.delete_stale_reports(window).await;
        Ok(())
    }

    /// Returns the stored counts of a window, which this node writes unless an earlier leader did; `None` if no node
    /// counted a request.
    async fn load_or_write_counts(&mut self, window: u64) -> Result<Option<Counts>, Error> {
        let key = format!("{}{KEY}", self.shared.edge.internal_prefix());
        let record = self.shared.store.get(&key).await?;
        let era = self.era.unwrap_or_default();
        let mut stored = match &record {
            // If there was one, it was lost.
            None => Record {
                era: Some(0),
                ..Record::default()
            },
            Some(record) => {
                serde_json::from_slice(&record.value).map_err(|error| Error::Protocol(error.to_string()))?
            }
        };
        let kept = self.kept_windows();
        self.known.merge(&stored.windows, kept);
        if let Some(counts) = stored.windows.get(window) {
            return Ok(Some(counts.clone()));
        }
        let horizon = stored.horizon().read_in(era, self.due_at_restore);
        let known = self.known.get(window).cloned();
        if known.is_none() && horizon.covers(window) {
            metrics::counter!("bilberrylatch_usage_windows_left_out_total").increment(1);
            log::warn!(window, era, written_in_era = stored.era.map_or(-1, |era| era as i64), lost_before = horizon.before;
                "usage window left out, since it may have been reported before the store was restored");
            return Ok(None);
        }
        let counts = known.unwrap_or_else(|| self.sum(window));
        if counts.is_empty() {
            return Ok(None);
        }
        stored.windows.insert(window, counts.clone(), kept);
        stored.era = horizon.era;
        stored.lost_before = horizon.before;
        let value = serde_json::to_vec(&stored).map_err(|error| Error::Protocol(error.to_string()))?;
        let condition = record.map_or(Condition::Absent, |it| Condition::Revision(it.revision));
        let write = Write::new(key, Bytes::from(value), condition);
        self.shared.store.write(&write).await?;
        self.known.insert(window, counts.clone(), kept);
        Ok(Some(counts))
    }

    /// Sums the published counts of all nodes.
    fn sum(&self, window: u64) -> IndexMap<Arc<str>, u64> {
        let mut sum = IndexMap::new();
        for report in reports(&self.shared).values() {
            report.counts.add_to(window, &mut sum);
        }
        sum
    }

    fn mark_reported(&mut self, window: u64) {
        self.reported.push(window);
        let excess = self.reported.len().saturating_sub(self.kept_windows());
        self.reported.drain(..excess);
    }

    /// Number of windows that are kept: at least all that can be due at the same time.
    fn kept_windows(&self) -> usize {
        let settings = self.shared.settings();
        let due = settings.usage_report_due.0 / settings.usage_window.0.max(1);
        usize::try_from(KEPT_WINDOWS.max(due + 2)).unwrap_or(usize::MAX)
    }

    /// Deletes old reports of nodes that are gone.
    async fn delete_stale_reports(&self, window: u64) {
        let is_gone = |name: &str| {
            let incarnation: Option<Incarnation> = name.parse().ok();
            let view = self.shared.view();
            incarnation.is_none_or(|it| !view.peers.contains_key(&it))
        };
        let is_old = |summary: &Summary| {
            let windows = summary
                .reports
                .values()
                .filter_map(|report| report.counts.newest());
            windows
                .max()
                .is_none_or(|newest| newest + STALE_AFTER_WINDOWS < window)
        };
        let summaries = self.shared.view().summaries.clone();
        for (name, summary) in summaries {
            if !is_old(&summary) || !is_gone(&name) {
                continue;
            }
            let key = format!("{}{REPORTS_PREFIX}{name}", self.shared.edge.internal_prefix());
            if let Err(error) = self
                .shared
                .store
                .write_once(&Write::delete(key, Condition::Any))
                .await
            {
                log::warn!(node = name, cause:% = error; "failed to delete an old report");
            }
        }
    }
}

/// The latest published report of each node.
pub(super) fn reports(shared: &Shared) -> IndexMap<Incarnation, Arc<Report>> {
    let mut latest = Summary::default();
    for summary in shared.view().summaries.values() {
        for (node, report) in &summary.reports {
            latest.insert(*node, Arc::clone(report));
        }
    }
    latest.reports
}

/// Newest usage window whose counts are recorded, after which counts of earlier ones have no effect.
pub fn newest_recorded_window(shared: &Shared) -> Option<u64> {
    let value = shared.view().internal.get(KEY)?.value.clone();
    let record: Record = serde_json::from_slice(&value).ok()?;
    record.windows.newest()
}
