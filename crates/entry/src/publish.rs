//! Publishes the node's counts to the store, where the leader reads them.

use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use bytes::Bytes;
use indexmap::IndexMap;
use rollout::fast::Tally;
use serde::{Deserialize, Serialize};
use store::{Condition, Error, Write};
use tokio::time::sleep;

use crate::Shared;
use crate::counts::Counts;
use crate::lifecycle::Phase;

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

/// A node's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that began to run, by usage window and workspace.
    pub counts: Counts,
    /// Number of replicas that the node's requests keep busy, by endpoint.
    pub busy: IndexMap<Arc<str>, f64>,
    /// Outcomes of requests at both versions of endpoints with a running rollout.
    #[serde(rename = "moves")]
    pub rollouts: IndexMap<Arc<str>, Comparison>,
}

/// Outcomes of requests at the two versions of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Revision of the rollout order.
    pub order: u64,
    /// Outcomes at the old version.
    pub old: Tally,
    /// Outcomes at the new version.
    pub new: Tally,
    /// Requests in flight at the old version.
    pub old_in_flight: u64,
}

/// Publishes reports until the node stops, and a final one then.
pub async fn run(shared: Arc<Shared>) {
    let mut publisher = Publisher::new(shared);
    loop {
        let next_report_in = publisher.next_report_in();
        let is_final = tokio::select! {
            () = sleep(next_report_in) => false,
            () = publisher.shared.lifecycle.reached(Phase::Ended) => true,
        };
        if let Err(error) = publisher.publish().await {
            log::warn!(cause:% = error; "failed to publish a report");
        }
        if is_final {
            return;
        }
    }
}

#[derive(Debug)]
struct Publisher {
    shared: Arc<Shared>,
    last_written: Report,
    /// Accumulated work of each endpoint's replicas at the last measurement.
    work_ms: IndexMap<Arc<str>, f64>,
    measured_at: Millis,
    busy: IndexMap<Arc<str>, f64>,
}

impl Publisher {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            measured_at: shared.now(),
            shared,
            last_written: Report::default(),
            work_ms: IndexMap::new(),
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

    async fn publish(&mut self) -> Result<(), Error> {
        self.measure();
        let report = Report {
            counts: self.shared.counts().clone(),
            busy: self.busy.clone(),
            rollouts: self.shared.comparisons().clone(),
        };
        if report == self.last_written {
            return Ok(());
        }
        let value = serde_json::to_vec(&report).map_err(|error| Error::Protocol(error.to_string()))?;
        let shared = &self.shared;
        let key = format!(
            "{}{REPORTS_PREFIX}{}",
            shared.edge.internal_prefix(),
            shared.incarnation
        );
        let write = Write::new(key, Bytes::from(value), Condition::Any);
        shared.store.write_once(&write).await?;
        self.last_written = report;
        Ok(())
    }

    /// Updates the load averages with the work since the last measurement.
    fn measure(&mut self) {
        let now = self.shared.now();
        let span_ms = now.since(self.measured_at).0 as f64;
        if span_ms <= 0.0 {
            return;
        }
        self.measured_at = now;
        let work: Vec<(Arc<str>, f64)> = self.shared.with_pools(|pools| {
            let totals = pools
                .iter()
                .map(|(name, pool)| (Arc::clone(name), pool.work_ms()));
            totals.collect()
        });
        for (endpoint, total_ms) in work {
            let before = self.work_ms.insert(Arc::clone(&endpoint), total_ms);
            let newest = (total_ms - before.unwrap_or(total_ms)) / span_ms;
            let mean = self.busy.entry(endpoint).or_insert(newest);
            *mean += LOAD_SMOOTHING * (newest - *mean);
            // Rounding keeps a steady load from changing the report, which would be written again.
            *mean = (*mean * 1_000.0).round() / 1_000.0;
        }
    }
}
