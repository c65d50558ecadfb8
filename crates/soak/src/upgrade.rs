//! Move of the nodes from an earlier build of the daemon to the current one, one after the other.

use base::{Millis, Seed};
use rand::RngExt;

/// Label with which the seed of the move is derived from the seed of the run.
const SEED_LABEL: u64 = 3;
/// Longest pause between two nodes.
const MAX_PAUSE: Millis = Millis(1_500);

/// A build of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build that the nodes start with.
    Earlier,
    /// The build under test.
    Current,
}

/// How far the move goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    /// All nodes are moved.
    Whole,
    /// Half of the nodes are moved.
    Halted,
    /// Half of the nodes are moved, and back again.
    TakenBack,
}

/// A move of the nodes to the current build, which overlaps the faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upgrade {
    /// Start, relative to the start of the run.
    pub at: Millis,
    /// Pause between two nodes.
    pub pause: Millis,
    /// How far it goes.
    pub course: Course,
}

impl Upgrade {
    /// Returns the move for the seed of a run whose faults begin within `length`.
    pub fn from_seed(seed: u64, length: Millis) -> Self {
        let mut generator = Seed(seed).derive(SEED_LABEL).generator();
        Self {
            at: Millis(generator.random_range(0..length.0.div_ceil(2))),
            pause: Millis(generator.random_range(0..MAX_PAUSE.0)),
            course: match generator.random_range(0..3) {
                0 => Course::Halted,
                1 => Course::TakenBack,
                _ => Course::Whole,
            },
        }
    }

    /// The nodes to restart, in order, and the build that each gets.
    pub fn steps(&self, nodes: usize) -> Vec<(usize, Build)> {
        let moved = match self.course {
            Course::Whole => nodes,
            Course::Halted | Course::TakenBack => nodes.div_ceil(2),
        };
        let mut steps: Vec<(usize, Build)> = (0..moved).map(|node| (node, Build::Current)).collect();
        if self.course == Course::TakenBack {
            steps.extend((0..moved).map(|node| (node, Build::Earlier)));
        }
        steps
    }
}
