//! Writes down what the node has counted, for the node that holds the duties.

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
use crate::stop::Phase;

/// Start of the keys of nodes' reports, behind the own prefix.
pub const REPORTS_PREFIX: &str = "reports/";
/// Reports in each usage window: what a killed node has not told is missing from the usage.
const REPORTS_PER_WINDOW: u64 = 4;
/// The same of many nodes, each of which has little to tell.
const REPORTS_PER_WINDOW_LARGE: u64 = 2;
/// Nodes that count as many.
const LARGE_CLUSTER: usize = 24;
/// Time after a window's end until its last report: runs that began before have been counted.
const REPORT_DELAY: Millis = Millis(150);
/// Weight of the newest load in the moving mean.
const LOAD_SMOOTHING: f64 = 0.3;

/// What a node tells the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that began to run, by usage window and workspace.
    pub counts: Counts,
    /// Replicas that the node keeps busy, by endpoint.
    pub busy: IndexMap<Arc<str>, f64>,
    /// Ends of requests at both versions of endpoints that are being moved.
    #[serde(rename = "moves")]
    pub rollouts: IndexMap<Arc<str>, Comparison>,
}

/// Ends of requests at two versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Revision of the order to move.
    pub order: u64,
    /// At the version before.
    pub old: Tally,
    /// At the version that is moved to.
    pub new: Tally,
    /// Requests in flight at the version before.
    pub old_in_flight: u64,
}

/// Publishes until the node ends, and once more then.
pub async fn run(shared: Arc<Shared>) {
    let mut publisher = Publisher::new(shared);
    loop {
        let next_report_in = publisher.next_report_in();
        let is_last = tokio::select! {
            () = sleep(next_report_in) => false,
            () = publisher.shared.stop.reached(Phase::Ended) => true,
        };
        if let Err(error) = publisher.publish().await {
            log::warn!(cause:% = error; "counts not published");
        }
        if is_last {
            return;
        }
    }
}

#[derive(Debug)]
struct Publisher {
    shared: Arc<Shared>,
    last_written: Report,
    /// Work of each endpoint's replicas at the last look.
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

    /// Time until the next report. All nodes report at the same moments of true time, so that one answer to a watch
    /// brings them all.
    fn next_report_in(&self) -> Duration {
        let now = self.shared.now();
        let is_large = self.shared.view().nodes() >= LARGE_CLUSTER;
        let reports = if is_large {
            REPORTS_PER_WINDOW_LARGE
        } else {
            REPORTS_PER_WINDOW
        };
        let pace = (self.shared.settings().usage_window.0 / reports).max(1);
        let unix_ms = self.shared.wall_clock().unix_ms(now).unwrap_or(now.0);
        let since = (unix_ms + pace - REPORT_DELAY.0) % pace;
        Millis(pace - since).as_duration()
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

    /// Takes in the work since the last look.
    fn measure(&mut self) {
        let now = self.shared.now();
        let span_ms = now.since(self.measured_at).0 as f64;
        if span_ms <= 0.0 {
            return;
        }
        self.measured_at = now;
        let work: Vec<(Arc<str>, f64)> = self.shared.with_pools(|pools| {
            let works = pools
                .iter()
                .map(|(name, pool)| (Arc::clone(name), pool.work_ms()));
            works.collect()
        });
        for (endpoint, total_ms) in work {
            let before = self.work_ms.insert(Arc::clone(&endpoint), total_ms);
            let newest = (total_ms - before.unwrap_or(total_ms)) / span_ms;
            let mean = self.busy.entry(endpoint).or_insert(newest);
            *mean += LOAD_SMOOTHING * (newest - *mean);
            // Steady values keep the report from being written again for nothing.
            *mean = (*mean * 1_000.0).round() / 1_000.0;
        }
    }
}
