//! Publishes the nodes' counts to the store, where the leader reads them.
//!
//! A node that reads the store through another one sends it its report, and that node writes the reports of all its
//! askers in one record. Reports hold totals, so a report that is written twice or by two nodes counts once, and the
//! next report makes up for one that a node took and did not write before it died.

mod collector;
mod report;
mod summary;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use fleet::capacity::Load;
use indexmap::IndexMap;
use place::Work;
use store::{Condition, Error, Write};
use tokio::time::sleep;

use crate::Shared;
use crate::counts::Counts;
use crate::lifecycle::Phase;

pub use collector::{COLLECT_DELAY, Collector};
pub use report::{Comparison, Report};
pub use summary::Summary;

/// Key prefix of the nodes' reports, after the internal prefix.
pub const REPORTS_PREFIX: &str = "reports/";
/// Reports per usage window. If a node is killed, the counts since its last report are missing from the usage.
const REPORTS_PER_WINDOW: u64 = 4;
/// Reports per usage window in a large cluster, where each node has little to report.
const REPORTS_PER_WINDOW_LARGE: u64 = 2;
/// Number of nodes from which a cluster counts as large.
const LARGE_CLUSTER: usize = 24;
/// Delay of the last report of a window after the window ends, so that it includes the requests that began before the
/// end.
const REPORT_DELAY: Millis = Millis(150);
/// Weight of the latest sample in the moving average of the load.
const LOAD_SMOOTHING: f64 = 0.3;

/// Number of usage windows after which a report that was not replaced is no longer written.
const KEPT_WINDOWS: u64 = 3;

/// Publishes reports until the node stops, and a final one then.
pub async fn run(shared: Arc<Shared>) {
    let mut publisher = Publisher::new(shared);
    loop {
        let next_report_in = publisher.next_report_in();
        let shared = Arc::clone(&publisher.shared);
        tokio::select! {
            () = sleep(next_report_in) => publisher.publish().await,
            () = shared.store.wait_for_era_above(publisher.last_era) => {
                publisher.handle_restore().await;
            }
            () = shared.collected() => publisher.write().await,
            () = shared.lifecycle.reached(Phase::Ended) => {
                publisher.publish().await;
                if shared.collector().due_at().is_some() {
                    publisher.write().await;
                }
                return;
            }
        }
    }
}

#[derive(Debug)]
struct Publisher {
    shared: Arc<Shared>,
    last_report: Arc<Report>,
    /// Where the last report was sent; `None` if this node wrote it.
    last_target: Option<SocketAddr>,
    /// Era of the store for which it was sent.
    last_era: u64,
    /// Accumulated work of each endpoint's replicas at the last measurement.
    work: IndexMap<Arc<str>, Work>,
    measured_at: Millis,
    busy: IndexMap<Arc<str>, Load>,
}

impl Publisher {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            measured_at: shared.now(),
            shared,
            last_report: Arc::default(),
            last_target: None,
            last_era: 0,
            work: IndexMap::new(),
            busy: IndexMap::new(),
        }
    }

    /// Time until the next report. All nodes report at the same wall clock times, so that a single watch response
    /// delivers all reports.
    fn next_report_in(&self) -> Duration {
        let now = self.shared.now();
        let is_large = self.shared.view().nodes() >= LARGE_CLUSTER;
        let reports = if is_large {
            REPORTS_PER_WINDOW_LARGE
        } else {
            REPORTS_PER_WINDOW
        };
        let interval = (self.shared.settings().usage_window.0 / reports).max(1);
        let unix_ms = self.shared.wall_clock().unix_ms(now).unwrap_or(now.0);
        let since = (unix_ms + interval - REPORT_DELAY.0) % interval;
        Millis(interval - since).as_duration()
    }

    /// Publishes the report again if the store was restored. The store's first answer names its era, too.
    async fn handle_restore(&mut self) {
        let (before, era) = (self.last_era, self.shared.store.era());
        self.last_era = era;
        if before > 0 {
            log::info!(era_before = before, era; "report written again");
            self.last_report = Arc::new(Report {
                number: self.last_report.number,
                ..Report::default()
            });
            self.publish().await;
        }
    }

    /// Publishes this node's report if it changed: through the node that it follows, or else in its own record.
    async fn publish(&mut self) {
        self.measure();
        let followed = self.shared.followed_peer();
        let mut report = Report {
            number: self.last_report.number,
            counts: self.unsettled_counts(),
            busy: self.busy.clone(),
            rollouts: self.shared.comparisons(),
        };
        if report == *self.last_report && followed == self.last_target {
            return;
        }
        report.number += 1;
        let report = Arc::new(report);
        self.last_report = Arc::clone(&report);
        self.last_target = followed;
        let node = self.shared.incarnation;
        if let Some(address) = followed {
            let mut summary = Summary::default();
            summary.insert(node, Arc::clone(&report));
            match self.shared.submit_reports(address, &summary).await {
                Ok(()) => return,
                Err(cause) => log::warn!(peer:% = address, cause; "report not taken, writing it"),
            }
        }
        let now = self.shared.now();
        self.shared.collector().insert(now, node, report);
        if !self.shared.is_asked() {
            self.write().await;
        }
    }

    /// Writes the collected reports.
    async fn write(&self) {
        let shared = &self.shared;
        let max_age = Millis(shared.settings().usage_window.0 * KEPT_WINDOWS);
        let summary = shared.collector().take(shared.now(), max_age);
        if summary.reports.is_empty() {
            return;
        }
        if let Err(error) = self.write_summary(&summary).await {
            log::warn!(cause:% = error, reports = summary.reports.len(); "failed to publish reports");
            shared.collector().restore(shared.now());
        }
    }

    async fn write_summary(&self, summary: &Summary) -> Result<(), Error> {
        let shared = &self.shared;
        let value = summary
            .encode()
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let key = format!(
            "{}{REPORTS_PREFIX}{}",
            shared.edge.internal_prefix(),
            shared.incarnation
        );
        let write = Write::new(key, Bytes::from(value), Condition::Any);
        shared.store.write_once(&write).await?;
        Ok(())
    }

    /// Counts of the windows whose usage has not been recorded.
    fn unsettled_counts(&self) -> Counts {
        let settled = crate::leader::newest_recorded_window(&self.shared);
        let mut counts = self.shared.counts().clone();
        counts
            .windows
            .retain(|window, _| settled.is_none_or(|settled| *window > settled));
        counts
    }

    /// Updates the load averages with the work since the last measurement.
    fn measure(&mut self) {
        let now = self.shared.now();
        let span_ms = now.since(self.measured_at).0 as f64;
        if span_ms <= 0.0 {
            return;
        }
        self.measured_at = now;
        let work: Vec<(Arc<str>, Work)> = self.shared.with_pools(|pools| {
            let totals = pools.iter().map(|(name, pool)| (Arc::clone(name), pool.work()));
            totals.collect()
        });
        for (endpoint, total) in work {
            let before = self.work.insert(Arc::clone(&endpoint), total);
            let done = total - before.unwrap_or(total);
            let newest = Load {
                own: done.own_ms / span_ms,
                shared: done.shared_ms / span_ms,
                slots: done.slot_ms / span_ms,
            };
            let mean = self.busy.entry(endpoint).or_insert(newest);
            mean.own = smooth(mean.own, newest.own);
            mean.shared = smooth(mean.shared, newest.shared);
            mean.slots = smooth(mean.slots, newest.slots);
        }
    }
}

/// Moves an average towards a sample. Rounding keeps a steady load from changing the report, which would be written
/// again.
fn smooth(mean: f64, sample: f64) -> f64 {
    let next = LOAD_SMOOTHING.mul_add(sample - mean, mean);
    (next * 1_000.0).round() / 1_000.0
}
