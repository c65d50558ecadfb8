//! Whether this node can connect to the replicas of an endpoint.

use base::Millis;
use indexmap::{IndexMap, IndexSet};

use crate::ReplicaKey;

/// Number of replicas that can't be connected to, without a connection to any in between, after which the node counts as cut
/// off from the endpoint: one in three, but at least and at most so many, and all of them where there are fewer.
const MIN_FAILED: usize = 4;
const MAX_FAILED: usize = 8;
const FAILED_DIVISOR: usize = 3;
/// Maximum number of replicas to connect to at a time.
const MAX_PROBES: usize = 4;
/// Interval between attempts to connect to replicas while the node is cut off or may be.
const PROBE_INTERVAL: Millis = Millis(250);
/// Time without an answer of any replica, with requests waiting, after which it is checked whether replicas can be reached.
const MAX_SILENCE: Millis = Millis(1_000);
/// Time for which a failed connection counts while the node is not cut off.
const FAILURE_TTL: Millis = Millis(5_000);

/// A change of what a node can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No replica can be reached any more.
    CutOff {
        /// Number of replicas that can't be connected to.
        failed: usize,
        /// Time since the last connection to a replica; `None` if there was none.
        connected_age: Option<Millis>,
    },
    /// Enough replicas can be reached again.
    Reached {
        /// Time for which the node was cut off.
        cut_off: Millis,
    },
}

/// Connections of this node to the replicas of an endpoint.
///
/// Load pattern: a node is partitioned from all replicas while callers and the other nodes reach it. Connections that are open
/// may live on, hang or be reset, so only new ones tell whether a replica can be reached. Some replicas may be reached while the
/// others are not, such as those that have just started: one connection does not end the cut.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reach {
    /// Replicas that could not be connected to since the last connection, and when.
    failed: IndexMap<ReplicaKey, Millis>,
    connected_at: Option<Millis>,
    /// When a replica last answered a request.
    answered_at: Option<Millis>,
    cut_off_since: Option<Millis>,
    /// Replicas that were connected to since the node was cut off.
    reached: IndexSet<ReplicaKey>,
    probed_at: Option<Millis>,
}

impl Reach {
    /// Records a connection to a replica, one of `replicas`.
    pub fn record_connection(
        &mut self,
        now: Millis,
        replica: ReplicaKey,
        replicas: usize,
    ) -> Option<ReachChange> {
        self.connected_at = Some(now);
        let Some(since) = self.cut_off_since else {
            self.failed.clear();
            return None;
        };
        self.failed.swap_remove(&replica);
        self.reached.insert(replica);
        if self.reached.len() < min_reached(replicas) {
            return None;
        }
        self.failed.clear();
        self.reached.clear();
        self.cut_off_since = None;
        Some(ReachChange::Reached {
            cut_off: now.since(since),
        })
    }

    /// Records that a replica, one of `replicas`, can't be connected to.
    pub fn record_failure(
        &mut self,
        now: Millis,
        replica: ReplicaKey,
        replicas: usize,
    ) -> Option<ReachChange> {
        if self.cut_off_since.is_none() {
            self.failed.retain(|_, at| now.since(*at) < FAILURE_TTL);
        }
        self.failed.insert(replica, now);
        self.reached.swap_remove(&replica);
        if self.cut_off_since.is_some() || self.failed.len() < min_failed(replicas) {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(ReachChange::CutOff {
            failed: self.failed.len(),
            connected_age: self.connected_at.map(|at| now.since(at)),
        })
    }

    /// Records an answer of a replica.
    pub const fn record_answer(&mut self, now: Millis) {
        self.answered_at = Some(now);
    }

    /// Forgets a replica that is gone.
    pub fn forget(&mut self, replica: ReplicaKey) {
        self.failed.swap_remove(&replica);
        self.reached.swap_remove(&replica);
    }

    /// Whether requests are sent to a replica from this node.
    pub fn is_direct(&self, replica: ReplicaKey) -> bool {
        !self.is_cut_off() || self.reached.contains(&replica)
    }

    /// Whether no replica can be reached, or too few.
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Whether a replica could not be connected to since the last connection to any.
    pub fn has_failed(&self, replica: ReplicaKey) -> bool {
        self.failed.contains_key(&replica)
    }

    /// When the node was cut off; `None` if it is not.
    pub const fn cut_off_since(&self) -> Option<Millis> {
        self.cut_off_since
    }

    /// Number of replicas to connect to now, to find out whether any can be reached. `waiting_since` is when the oldest
    /// request without an answer was sent, `suspected_since` when the node was last cut off from another endpoint.
    pub fn take_probes(
        &mut self,
        now: Millis,
        waiting_since: Option<Millis>,
        suspected_since: Option<Millis>,
    ) -> usize {
        let is_silent = |at: Option<Millis>| at.is_none_or(|at| now.since(at) >= MAX_SILENCE);
        let is_suspected = suspected_since.is_some_and(|since| self.connected_at.is_none_or(|at| at < since));
        let is_suspicious = !self.failed.is_empty()
            || is_suspected
            || (waiting_since.is_some_and(|at| is_silent(Some(at)))
                && is_silent(self.answered_at)
                && is_silent(self.connected_at));
        let is_due = self.probed_at.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if !is_due || !(self.is_cut_off() || is_suspicious) {
            return 0;
        }
        self.probed_at = Some(now);
        if self.is_cut_off() && self.reached.is_empty() {
            1
        } else {
            MAX_PROBES
        }
    }
}

/// Number of replicas that can't be connected to, of `replicas`, after which the node counts as cut off.
fn min_failed(replicas: usize) -> usize {
    let threshold = (replicas / FAILED_DIVISOR).clamp(MIN_FAILED, MAX_FAILED);
    threshold.min(replicas)
}

/// Number of replicas that have to be connected to, of `replicas`, until the node no longer counts as cut off. Of few replicas,
/// some may be down.
fn min_reached(replicas: usize) -> usize {
    min_failed(replicas).min(replicas.div_ceil(2))
}
