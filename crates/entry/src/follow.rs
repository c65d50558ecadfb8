//! Maintains the node's view of the store with a listing followed by watches from the listing's revision.
//!
//! A single watch covers all keys. The next watch starts after a short delay, so that a burst of changes costs one
//! call. If the watch fails, it is retried from the last revision; if its history is no longer available, all records
//! are listed again. The view keeps its contents in the meantime.

mod apply;
mod pending;

use std::sync::Arc;
use std::time::Duration;

use base::Millis;
use rand::RngExt;
use store::Error;
use tokio::time::sleep;

use crate::Shared;
use crate::lifecycle::Phase;
use apply::Applier;
pub use apply::{NODES_PREFIX, ROLLOUTS_PREFIX};

/// Prefix of all keys: configuration, replicas, rollout orders and the nodes' internal records.
const ALL_KEYS: &str = "";
/// Maximum time that a watch waits for changes. A response confirms the view as of the time the request was sent, so
/// this adds to the age of the view.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next watch, which batches changes. It adds to the time until a change takes effect.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Additional delay per node: the store's rate limits grow more slowly than the combined calls of all nodes.
const BATCH_DELAY_PER_NODE: Duration = Duration::from_millis(8);
/// Maximum delay, as a fraction of the time within which a change must take effect. Replicas that come and go are
/// noticed later by as much.
const MAX_BATCH_DELAY_RATIO: f64 = 0.3;
/// Delays before a failed call is retried. Jitter reduces a delay to between half and all of it.
const RETRY_DELAYS: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(240),
    Duration::from_millis(400),
];

/// Follows the store until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let lifecycle = shared.lifecycle.clone();
    let mut follower = Follower::new(shared);
    loop {
        tokio::select! {
            () = follower.step() => {}
            () = lifecycle.reached(Phase::Ended) => return,
        }
    }
}

#[derive(Debug)]
struct Follower {
    shared: Arc<Shared>,
    applier: Applier,
    /// Revision to continue from; `None` if the records must be listed.
    revision: Option<u64>,
    failures: usize,
}

impl Follower {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            applier: Applier::new(Arc::clone(&shared)),
            shared,
            revision: None,
            failures: 0,
        }
    }

    /// Makes one call and handles its result.
    async fn step(&mut self) {
        let sent = self.shared.now();
        let result = match self.revision {
            None => self.list(sent).await,
            Some(revision) => self.watch(sent, revision).await,
        };
        self.applier.apply_expired();
        match result {
            Ok(changed) => {
                self.handle_success();
                if changed {
                    let nodes = self.shared.view().nodes() as u32;
                    let max_delay = self
                        .shared
                        .settings()
                        .apply_time
                        .as_duration()
                        .mul_f64(MAX_BATCH_DELAY_RATIO);
                    sleep((BATCH_DELAY + BATCH_DELAY_PER_NODE * nodes).min(max_delay)).await;
                }
            }
            Err(Error::HistoryGone) => {
                log::warn!(revision = self.revision.unwrap_or(0); "store history gone, listing again");
                self.revision = None;
            }
            Err(error) => self.handle_failure(&error).await,
        }
    }

    async fn list(&mut self, sent: Millis) -> Result<bool, Error> {
        let listing = self.shared.store.list(ALL_KEYS).await?;
        self.revision = Some(listing.revision);
        self.applier.apply_listing(&listing);
        self.confirm_freshness(sent);
        log::info!(records = listing.entries.len(), revision = listing.revision; "store listed");
        Ok(false)
    }

    async fn watch(&mut self, sent: Millis, revision: u64) -> Result<bool, Error> {
        let changes = self.shared.store.watch(ALL_KEYS, revision, WATCH_TIMEOUT).await?;
        for change in &changes.list {
            self.applier.apply_change(change);
        }
        let last = changes.list.iter().map(|change| change.revision).max();
        self.revision = Some(changes.revision.max(last.unwrap_or(0)).max(revision));
        self.confirm_freshness(sent);
        Ok(!changes.list.is_empty())
    }

    fn confirm_freshness(&self, sent: Millis) {
        self.shared.view().freshness.confirm(sent);
    }

    fn handle_success(&mut self) {
        if self.failures > 0 {
            let now = self.shared.now();
            self.applier.store_recovered(now);
            log::info!(failures = self.failures; "store regained");
        }
        self.failures = 0;
    }

    async fn handle_failure(&mut self, error: &Error) {
        if self.failures == 0 {
            log::warn!(cause:% = error; "store lost");
        }
        let delay = RETRY_DELAYS[self.failures.min(RETRY_DELAYS.len() - 1)];
        self.failures += 1;
        let now = self.shared.now();
        self.shared.view().store_failed_at = Some(now);
        metrics::counter!("bilberrylatch_store_failures_total").increment(1);
        let jitter: f64 = rand::rng().random_range(0.5..1.0);
        sleep(delay.mul_f64(jitter)).await;
    }
}
