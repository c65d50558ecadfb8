//! What nodes tell each other.

use base::Millis;
use serde::{Deserialize, Serialize};

use crate::{Block, Crash};

/// A part that was processed without a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survival {
    /// Id of the part.
    pub part: u64,
    /// Time since then.
    pub age: Millis,
}

/// What a node knows of crashes, observed by itself or by others. Receiving the same twice changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The latest crashes that no block explains.
    pub crashes: Vec<Crash>,
    /// The latest times at which parts of these crashes were processed without one.
    pub survivals: Vec<Survival>,
    /// The latest blocks.
    pub blocks: Vec<Block>,
}

impl Digest {
    /// Whether it says the same as another, apart from the time that passed.
    pub fn is_same(&self, other: &Self) -> bool {
        let same_crashes = self.crashes.len() == other.crashes.len()
            && self
                .crashes
                .iter()
                .zip(&other.crashes)
                .all(|(a, b)| a.replica == b.replica && a.parts == b.parts);
        let parts = |digest: &Self| -> Vec<u64> { digest.survivals.iter().map(|it| it.part).collect() };
        let same_blocks = self.blocks.len() == other.blocks.len()
            && self
                .blocks
                .iter()
                .zip(&other.blocks)
                .all(|(a, b)| a.parts == b.parts && a.is_lifted == b.is_lifted);
        same_crashes && same_blocks && parts(self) == parts(other)
    }
}
