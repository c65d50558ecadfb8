//! Choice of the node through which requests are sent while this node reaches no replica, and admission at that node.

use base::Millis;
use base::seed::Generator;
use indexmap::IndexMap;
use rand::RngExt;

/// Cost of a node in another availability zone, as a multiple of that of a node in the same zone.
const OTHER_ZONE_FACTOR: f64 = 1.5;
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
}

impl Intermediaries {
    /// Creates the state of a node that has sent nothing through others.
    pub fn new(generator: Generator) -> Self {
        Self {
            generator,
            uses: IndexMap::new(),
        }
    }

    /// Chooses the node with the fewest requests in flight for its size; `None` if all are excluded.
    pub fn choose(&mut self, now: Millis, candidates: &[Candidate]) -> Option<u64> {
        let mut best: Option<(f64, u64)> = None;
        for candidate in candidates {
            let known = self.uses.get(&candidate.node).copied().unwrap_or_default();
            if now < known.excluded_until {
                continue;
            }
            let factor = if candidate.is_near { 1.0 } else { OTHER_ZONE_FACTOR };
            // Nodes of the same size and use are drawn at random, since all cut nodes choose among the same ones.
            let draw: f64 = self.generator.random_range(1.0..2.0);
            let cost = factor * (known.in_flight as f64 + draw) / f64::from(candidate.capacity.max(1));
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, candidate.node));
            }
        }
        best.map(|(_, node)| node)
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
