//! Seeds for reproducible randomness.

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

/// The generator that deciding crates draw from.
pub type Generator = Xoshiro256PlusPlus;

/// Seed of a generator: the same seed gives the same draws on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seed(pub u64);

impl Seed {
    /// A generator that starts from this seed.
    pub fn generator(self) -> Generator {
        Xoshiro256PlusPlus::seed_from_u64(self.0)
    }

    /// A seed for the part called `label`, independent of other parts' seeds.
    pub fn derive(self, label: u64) -> Self {
        // The odd constant of splitmix64 spreads neighbouring labels apart.
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        Self(
            (self.0 ^ label.wrapping_mul(MULTIPLIER))
                .wrapping_mul(MULTIPLIER)
                .rotate_left(31),
        )
    }
}
