//! Whether a node reads the store itself or asks another node.

use std::fmt;

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use crate::rank::{position, weight};

/// Number of askers that one reader answers.
const ASKERS_PER_READER: usize = 48;
/// Nodes of a zone up to which all of them read the store: with fewer askers, a reader that fails costs more than the
/// calls that it saves.
const DIRECT_NODES: usize = 3;
/// Time for which a node that did not answer is not asked. Doubles with each further failure.
const SUSPICION: Millis = Millis(4_000);
/// Maximum number of times that it doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Time without a failure after which earlier ones no longer count.
const FAILURE_MEMORY: Millis = Millis(60_000);
/// Delay after a failed call to the store before an asker calls it again. Doubles with each further failure.
const STORE_RETRY: Millis = Millis(600);
/// Maximum number of times that it doubles.
const MAX_STORE_DOUBLINGS: u32 = 2;

/// Where a node gets the next changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From another node.
    Peer(Incarnation),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(node) => write!(f, "node {node}"),
        }
    }
}

/// A ready node of the own zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: Incarnation,
    /// Its share of a core, in thousandths.
    pub capacity: u32,
}

/// Why a question got no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The node did not answer.
    Unreachable,
    /// The node answered that it has no access to the store.
    Unavailable,
    /// The node does not have all changes since the asker's revision. The store has them.
    HistoryGone,
    /// The node has not seen the latest restore of the store.
    Outdated,
}

impl Failure {
    /// Label in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Unavailable => "unavailable",
            Self::HistoryGone => "history-gone",
            Self::Outdated => "outdated",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    failed_at: Millis,
    until: Millis,
    failures: u32,
}

/// Chooses the source of one node's view.
#[derive(Clone, Debug)]
pub struct Path {
    own: Incarnation,
    suspicions: IndexMap<Incarnation, Suspicion>,
    /// Whether the store is to be called because the node that was asked gave no changes.
    needs_store: bool,
    /// The node that has no access to the store, unless the store turns out to be away for this node as well.
    unavailable: Option<Incarnation>,
    store_failures: u32,
    next_store_call: Millis,
}

impl Path {
    /// Creates the path of the node `own`.
    pub fn new(own: Incarnation) -> Self {
        Self {
            own,
            suspicions: IndexMap::new(),
            needs_store: false,
            unavailable: None,
            store_failures: 0,
            next_store_call: Millis::ZERO,
        }
    }

    /// The source of the next changes. `must_read` holds for a node that others ask, or that needs each change early.
    pub fn source(&mut self, now: Millis, zone: &[Candidate], must_read: bool) -> Source {
        let is_alone = !zone.iter().any(|it| it.node != self.own);
        if must_read || is_alone || zone.len() <= DIRECT_NODES {
            return Source::Store;
        }
        let Some(reader) = self.reader(now, zone) else {
            return Source::Store;
        };
        if reader == self.own || (self.needs_store && now >= self.next_store_call) {
            return Source::Store;
        }
        Source::Peer(reader)
    }

    /// Records that a source returned changes.
    pub fn record_success(&mut self, now: Millis, source: Source) {
        self.needs_store = false;
        match source {
            Source::Store => {
                self.store_failures = 0;
                self.next_store_call = now;
                // The store serves this node, but not the one that it asked.
                if let Some(node) = self.unavailable.take() {
                    self.suspect(now, node);
                }
            }
            Source::Peer(_) => self.unavailable = None,
        }
    }

    /// Records that a node that was asked returned no changes.
    pub fn record_peer_failure(&mut self, now: Millis, node: Incarnation, failure: Failure) {
        self.needs_store = true;
        match failure {
            Failure::Unreachable => self.suspect(now, node),
            Failure::Unavailable => self.unavailable = Some(node),
            Failure::HistoryGone | Failure::Outdated => {}
        }
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self, now: Millis) {
        let doublings = self.store_failures.min(MAX_STORE_DOUBLINGS);
        self.next_store_call = now + Millis(STORE_RETRY.0 << doublings);
        self.store_failures += 1;
        self.unavailable = None;
    }

    fn suspect(&mut self, now: Millis, node: Incarnation) {
        self.suspicions
            .retain(|_, it| now.since(it.failed_at) < FAILURE_MEMORY);
        let failures = self.suspicions.get(&node).map_or(0, |it| it.failures);
        let length = Millis(SUSPICION.0 << failures.min(MAX_DOUBLINGS));
        self.suspicions.insert(
            node,
            Suspicion {
                failed_at: now,
                until: now + length,
                failures: failures + 1,
            },
        );
    }

    /// The node to read through: one of the highest ranks in the zone. Large nodes rank first, and the askers spread over
    /// the readers.
    fn reader(&self, now: Millis, zone: &[Candidate]) -> Option<Incarnation> {
        let is_usable = |it: &&Candidate| {
            let suspicion = self.suspicions.get(&it.node);
            it.node == self.own || suspicion.is_none_or(|it| now >= it.until)
        };
        let mut ranked: Vec<&Candidate> = zone.iter().filter(is_usable).collect();
        ranked.sort_by_key(|it| position(it));
        ranked.truncate(zone.len().div_ceil(ASKERS_PER_READER));
        if ranked.iter().any(|it| it.node == self.own) {
            return Some(self.own);
        }
        let nearest = ranked.iter().max_by_key(|it| weight(self.own.0, it.node));
        nearest.map(|it| it.node)
    }
}
