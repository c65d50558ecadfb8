//! Maintains the node's view of the store with a listing followed by watches from the listing's revision.
//!
//! A single watch covers all keys. The next watch starts after a short delay, so that a burst of changes costs one
//! call. If the watch fails, it is retried from the last revision; if its history is no longer available, all records
//! are listed again. The view keeps its contents in the meantime. The same holds if the store was restored from a copy,
//! which starts a new era.
//!
//! In a large availability zone, most nodes ask another node for the changes instead (see [`relay`]). Revisions are
//! the store's in either case, so a node continues from any source where another one left off.

mod apply;
mod evacuations;
mod expiry;
mod lost_orders;
mod regions;
mod replicas;
mod withheld;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::{Incarnation, Millis, Revision};
use rand::RngExt;
use relay::{Answer, Candidate, Change, Failure, Pace, Path, Query, Source};
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
/// Maximum delay before a node calls the store because the node that it asked gave no changes, so that not all of a
/// reader's askers call at once.
const MAX_FALLBACK_DELAY: Duration = Duration::from_millis(150);
/// Delay before a node asks again after an answer that the store is unavailable.
const UNAVAILABLE_DELAY: Duration = Duration::from_millis(300);
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

/// Maximum delay of the listing after a restore of the store, so that not all nodes list at once.
const RESTORE_JITTER: Duration = Duration::from_millis(200);

/// Follows the store until the node stops.
pub async fn run(shared: Arc<Shared>) {
    let lifecycle = shared.lifecycle.clone();
    let mut follower = Follower::new(Arc::clone(&shared));
    tokio::spawn(expiry::run(shared, Arc::clone(&follower.applier)));
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
    applier: Arc<Mutex<Applier>>,
    path: Path,
    source: Source,
    /// Revision up to which the view is complete; `None` before the first listing.
    revision: Option<Revision>,
    /// Whether the records must be listed, since the changes since the revision are not available.
    needs_listing: bool,
    failures: usize,
}

impl Follower {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            applier: Arc::new(Mutex::new(Applier::new(Arc::clone(&shared)))),
            path: Path::new(shared.incarnation),
            shared,
            source: Source::Store,
            revision: None,
            needs_listing: true,
            failures: 0,
        }
    }

    /// Makes one call and handles its result.
    async fn step(&mut self) {
        let era = self.shared.store.era();
        let revision = self.revision.filter(|it| !self.needs_listing && it.era >= era);
        match (self.choose_source(), revision) {
            (Source::Peer(node), Some(revision)) => self.ask(node, revision).await,
            (Source::Store | Source::Peer(_), revision) => self.read_store(revision).await,
        }
    }

    fn choose_source(&mut self) -> Source {
        let now = self.shared.now();
        let is_asked = self.shared.is_asked();
        let candidates = self.candidates();
        let source = self.path.source(now, &candidates, is_asked);
        if source != self.source {
            let age = self.shared.view().freshness.age(now);
            log::info!(source:% = source, before:% = self.source, is_asked, candidates = candidates.len(),
                view_age_ms = age.map_or(u64::MAX, |age| age.0); "source of the view changed");
            self.source = source;
            self.shared.set_followed(match source {
                Source::Store => None,
                Source::Peer(node) => Some(node),
            });
        }
        source
    }

    /// Ready nodes of the own zone.
    fn candidates(&self) -> Vec<Candidate> {
        let zone = self.shared.settings().zone.clone();
        let view = self.shared.view();
        let ready = view.peers.iter().filter(|(_, it)| it.ready && it.zone == zone);
        ready
            .map(|(node, peer)| Candidate {
                node: *node,
                capacity: peer.capacity,
            })
            .collect()
    }

    async fn read_store(&mut self, revision: Option<Revision>) {
        metrics::counter!("bilberrylatch_view_reads_total", "source" => "store").increment(1);
        let sent = self.shared.now();
        let result = match revision {
            None => self.list(sent).await,
            Some(revision) => self.watch(sent, revision).await,
        };
        match result {
            Ok(has_changes) => sleep(self.call_delay(has_changes)).await,
            Err(Error::HistoryGone) => {
                let Revision { era, number } = self.revision.unwrap_or_default();
                log::warn!(revision = number, era; "store history gone, listing again");
                self.needs_listing = true;
            }
            Err(error) => self.handle_failure(&error).await,
        }
    }

    /// Delay before the next call to the store.
    fn call_delay(&self, has_changes: bool) -> Duration {
        if self.shared.is_asked() {
            return self.pace().call_delay(has_changes).as_duration();
        }
        if !has_changes {
            return Duration::ZERO;
        }
        let nodes = self.shared.view().nodes() as u32;
        let apply_time = self.shared.settings().apply_time.as_duration();
        let max_delay = apply_time.mul_f64(MAX_BATCH_DELAY_RATIO);
        (BATCH_DELAY + BATCH_DELAY_PER_NODE * nodes).min(max_delay)
    }

    fn pace(&self) -> Pace {
        Pace::new(self.shared.settings().apply_time)
    }

    async fn list(&mut self, sent: Millis) -> Result<bool, Error> {
        if self.revision.is_some_and(|it| it.era < self.shared.store.era()) {
            let jitter: f64 = rand::rng().random_range(0.0..1.0);
            sleep(RESTORE_JITTER.mul_f64(jitter)).await;
        }
        let call = self.shared.questions().begin_call();
        let listing = self.shared.store.list(ALL_KEYS).await?;
        self.handle_success(Source::Store);
        let before = self.revision;
        let connects = |it: &Revision| it.era == listing.revision.era && *it <= listing.revision;
        let is_restored = before.is_some_and(|it| it.era < listing.revision.era);
        if let Some(before) = before.filter(|_| is_restored) {
            self.shared.record_restore(before, listing.revision);
        }
        let changes = {
            let mut applier = lock(&self.applier);
            let changes = before
                .filter(connects)
                .map(|revision| applier.changes_since(revision, &listing));
            if is_restored {
                applier.withhold_outdated(&listing);
            }
            applier.apply_listing(&listing);
            changes
        };
        metrics::gauge!("bilberrylatch_store_era").set(listing.revision.era as f64);
        // NB: lower than before if the store was restored, also by one that names no era.
        self.revision = Some(listing.revision);
        self.needs_listing = false;
        self.confirm_freshness(sent);
        let mut questions = self.shared.questions();
        match changes {
            Some(changes) => questions.end_listing(call, &changes, listing.revision),
            None => questions.reset(listing.revision),
        }
        log::info!(records = listing.entries.len(), revision = listing.revision.number, era = listing.revision.era;
            "store listed");
        Ok(false)
    }

    async fn watch(&mut self, sent: Millis, revision: Revision) -> Result<bool, Error> {
        let wait = if self.shared.is_asked() {
            self.pace().watch_timeout().as_duration()
        } else {
            WATCH_TIMEOUT
        };
        let call = self.shared.questions().begin_call();
        let watched = self.shared.store.watch(ALL_KEYS, revision, wait).await?;
        self.handle_success(Source::Store);
        let changes: Vec<Change> = watched.list.into_iter().map(convert).collect();
        let end = self.apply(&changes, watched.revision);
        self.confirm_freshness(sent);
        self.shared.questions().end_call(call, &changes, end);
        Ok(!changes.is_empty())
    }

    /// Asks another node for the changes since `revision`.
    async fn ask(&mut self, node: Incarnation, revision: Revision) {
        metrics::counter!("bilberrylatch_view_reads_total", "source" => "peer").increment(1);
        let Some(address) = self.shared.followed_peer() else {
            return self
                .handle_peer_failure(node, Failure::Unreachable, "no longer registered")
                .await;
        };
        let sent = self.shared.now();
        let query = Query { after: revision };
        let limit = self.pace().answer_timeout().as_duration();
        let result = self.shared.ask_peer(address, query, limit).await;
        let known = revision.max(Revision::new(self.shared.store.era(), 0));
        match result {
            Ok(answer) if answer.is_earlier_than(known) => {
                self.handle_peer_failure(
                    node,
                    Failure::Outdated,
                    "has not seen that the store was restored",
                )
                .await;
            }
            Ok(answer) if answer.is_later_than(revision) => {
                log::info!(era = revision.era, reader:% = node; "store restored, as the reader has seen");
                self.needs_listing = true;
            }
            Ok(Answer::Changes {
                changes,
                revision,
                is_difference,
                is_confirmed,
            }) => {
                self.handle_success(Source::Peer(node));
                if is_confirmed || !changes.is_empty() {
                    self.shared.record_store_answer();
                }
                let end = self.apply(&changes, revision);
                if is_confirmed {
                    self.confirm_freshness(sent);
                }
                self.shared
                    .questions()
                    .record_answer(&changes, end, is_difference);
            }
            Ok(Answer::HistoryGone { .. }) => {
                log::info!(revision = revision.number, reader:% = node; "changes not known to the reader");
                let now = self.shared.now();
                self.path.record_peer_failure(now, node, Failure::HistoryGone);
            }
            Ok(Answer::Unavailable) => {
                self.handle_peer_failure(node, Failure::Unavailable, "store unavailable")
                    .await;
            }
            Err(cause) => self.handle_peer_failure(node, Failure::Unreachable, &cause).await,
        }
    }

    /// Applies changes that complete the view up to `revision`. Returns the revision up to which it is complete.
    fn apply(&mut self, changes: &[Change], revision: Revision) -> Revision {
        {
            let mut applier = lock(&self.applier);
            for change in changes {
                applier.apply_change(change);
            }
        }
        let last = changes.iter().map(|change| change.revision).max();
        let end = last.map_or(revision, |last| revision.max(last));
        self.revision = self.revision.max(Some(end));
        end
    }

    fn confirm_freshness(&self, sent: Millis) {
        self.shared.view().freshness.confirm(sent);
    }

    /// Notes that a source answered, before its changes are applied.
    fn handle_success(&mut self, source: Source) {
        let now = self.shared.now();
        self.path.record_success(now, source);
        if source == Source::Store {
            self.shared.record_store_answer();
        }
        self.set_reachable(true);
        if self.failures > 0 {
            log::info!(failures = self.failures; "store regained");
        }
        self.failures = 0;
    }

    fn set_reachable(&self, is_reachable: bool) {
        self.shared.store_reachable.send_if_modified(|reachable| {
            let is_change = *reachable != is_reachable;
            *reachable = is_reachable;
            is_change
        });
    }

    async fn handle_failure(&mut self, error: &Error) {
        self.path.record_store_failure(self.shared.now());
        self.shared.questions().fail_call();
        if error.is_outage() {
            self.record_outage(error);
        } else {
            self.record_failed_call(error);
        }
        let delay = RETRY_DELAYS[(self.failures - 1).min(RETRY_DELAYS.len() - 1)];
        let jitter: f64 = rand::rng().random_range(0.5..1.0);
        sleep(delay.mul_f64(jitter)).await;
    }

    async fn handle_peer_failure(&mut self, node: Incarnation, failure: Failure, cause: &str) {
        let now = self.shared.now();
        let age = self.shared.view().freshness.age(now);
        log::warn!(reader:% = node, failure = failure.label(), cause, view_age_ms = age.map_or(u64::MAX, |age| age.0);
            "no changes from the reader");
        metrics::counter!("bilberrylatch_reader_failures_total").increment(1);
        self.path.record_peer_failure(now, node, failure);
        let jitter: f64 = rand::rng().random_range(0.0..1.0);
        let delay = match failure {
            Failure::Unreachable | Failure::HistoryGone | Failure::Outdated => {
                MAX_FALLBACK_DELAY.mul_f64(jitter)
            }
            Failure::Unavailable => {
                self.record_outage(&cause);
                UNAVAILABLE_DELAY.mul_f64(f64::midpoint(1.0, jitter))
            }
        };
        sleep(delay).await;
    }

    /// Counts a call that failed though the store answers, or that could not be sent.
    fn record_failed_call(&mut self, error: &Error) {
        if self.failures == 0 {
            log::error!(failure = error.label(), cause:% = error; "call to the store fails, though there is no outage");
        }
        self.failures += 1;
        metrics::counter!("bilberrylatch_store_failed_calls_total", "cause" => error.label()).increment(1);
    }

    /// Counts a failure of the store.
    fn record_outage<E>(&mut self, error: &E)
    where
        E: std::fmt::Display,
    {
        if self.failures == 0 {
            log::warn!(cause:% = error; "store lost");
        }
        self.set_reachable(false);
        self.failures += 1;
        metrics::counter!("bilberrylatch_store_failures_total").increment(1);
    }
}

fn lock(applier: &Mutex<Applier>) -> MutexGuard<'_, Applier> {
    applier.lock().unwrap_or_else(PoisonError::into_inner)
}

fn convert(change: store::Change) -> Change {
    Change {
        value: change.value.filter(|_| !change.deleted),
        key: change.key,
        revision: change.revision,
    }
}
