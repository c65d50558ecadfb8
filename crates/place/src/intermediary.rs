//! Choice of the node through which requests are sent while this node reaches no replica, and admission at that node.

mod evidence;

use std::sync::Arc;

use base::Millis;
use base::seed::Generator;
use indexmap::IndexMap;
use rand::RngExt;

use self::evidence::Evidence;

/// Cost of a node in another availability zone, as a multiple of that of a node in the same zone.
const OTHER_ZONE_FACTOR: f64 = 1.5;
/// Maximum number of nodes that a decline names.
pub const MAX_NAMED: usize = 4;
/// Number of requests that a node forwards for others at a time, whatever its own load.
const MIN_FORWARDED: usize = 64;
/// Further requests that it forwards for each of its own.
const FORWARDED_PER_OWN: usize = 4;
/// Maximum number of requests that it forwards at a time.
const MAX_FORWARDED: usize = 512;

/// Returns whether a node with so many requests forwarded for others, and so many of its own, forwards another one.
///
/// Load pattern: most nodes of a zone are partitioned from the replicas, and all turn to the same few nodes.
pub const fn may_forward(forwarded: usize, own: usize) -> bool {
    let scaled = MIN_FORWARDED + FORWARDED_PER_OWN * own;
    forwarded < scaled && forwarded < MAX_FORWARDED
}

/// A node that may reach the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: u64,
    /// Its share of a core, in thousandths.
    pub capacity: u32,
    /// Whether it is in the same availability zone.
    pub is_near: bool,
    /// Whether it says itself which endpoints it can't reach. Of the nodes of other zones of a large cluster, sums tell only
    /// what none of them reaches.
    pub is_heard: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    /// Requests in flight through the node.
    in_flight: usize,
    excluded_until: Millis,
}

/// The nodes through which requests are sent.
#[derive(Clone, Debug)]
pub struct Intermediaries {
    generator: Generator,
    uses: IndexMap<u64, Use>,
    evidence: Evidence,
}

impl Intermediaries {
    /// Creates the state of a node that has sent nothing through others.
    pub fn new(generator: Generator) -> Self {
        Self {
            generator,
            uses: IndexMap::new(),
            evidence: Evidence::default(),
        }
    }

    /// Chooses the node with the fewest requests in flight for its size; `None` if all are excluded.
    ///
    /// Load pattern: many nodes of a large cluster are cut off from the replicas, and those of other zones can't be told from
    /// the rest. They decline at once and have nothing in flight, so by load alone they are asked first, each time.
    pub fn choose(&mut self, now: Millis, endpoint: &Arc<str>, candidates: &[Candidate]) -> Option<u64> {
        let mut best: Option<(f64, u64)> = None;
        for candidate in candidates {
            let node = candidate.node;
            let known = self.uses.get(&node).copied().unwrap_or_default();
            if now < known.excluded_until || self.evidence.is_declined(now, node, endpoint) {
                continue;
            }
            let is_known = candidate.is_heard || self.evidence.is_reached(now, node, endpoint);
            let asks = if is_known {
                1.0
            } else {
                self.evidence.expected_asks()
            };
            let factor = if candidate.is_near {
                asks
            } else {
                asks * OTHER_ZONE_FACTOR
            };
            // Nodes of the same size and use are drawn at random, since all cut nodes choose among the same ones.
            let draw: f64 = self.generator.random_range(1.0..2.0);
            let cost = factor * (known.in_flight as f64 + draw) / f64::from(candidate.capacity.max(1));
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, node));
            }
        }
        best.map(|(_, node)| node)
    }

    /// Records that a response of a replica came through a node.
    pub fn record_response(&mut self, now: Millis, endpoint: &Arc<str>, node: u64) {
        self.evidence.record_response(now, node, endpoint);
    }

    /// Records that a node declined because it is cut off from an endpoint, and the nodes that it named as ones that reach it.
    pub fn record_decline(&mut self, now: Millis, endpoint: &Arc<str>, node: u64, named: &[u64]) {
        self.evidence.record_decline(now, node, endpoint);
        for named in named {
            self.evidence.record_reached(now, *named, endpoint);
        }
    }

    /// Draws some nodes to name to one that asked in vain, the larger ones more often.
    pub fn draw_named(&mut self, candidates: &[Candidate]) -> Vec<u64> {
        let mut drawn: Vec<(f64, u64)> = Vec::new();
        for candidate in candidates {
            let draw: f64 = self.generator.random_range(f64::EPSILON..1.0);
            drawn.push((-draw.ln() / f64::from(candidate.capacity.max(1)), candidate.node));
        }
        drawn.sort_by(|left, right| left.0.total_cmp(&right.0));
        drawn.into_iter().take(MAX_NAMED).map(|(_, node)| node).collect()
    }

    /// Records that a request is sent through a node.
    pub fn begin(&mut self, node: u64) {
        self.uses.entry(node).or_default().in_flight += 1;
    }

    /// Records that a request through a node has ended.
    pub fn end(&mut self, now: Millis, node: u64) {
        let Some(known) = self.uses.get_mut(&node) else {
            return;
        };
        known.in_flight = known.in_flight.saturating_sub(1);
        if known.in_flight == 0 && now >= known.excluded_until {
            self.uses.swap_remove(&node);
        }
    }

    /// Leaves a node out for a while, since it took no request.
    pub fn exclude(&mut self, now: Millis, node: u64, duration: Millis) {
        let known = self.uses.entry(node).or_default();
        known.excluded_until = known.excluded_until.max(now + duration);
    }
}
