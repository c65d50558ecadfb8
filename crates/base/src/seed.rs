//! Seeds for reproducible random numbers.

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

/// The random number generator of all crates that make randomized decisions.
pub type Generator = Xoshiro256PlusPlus;

/// The seed of a generator. The same seed produces the same sequence on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seed(pub u64);

impl Seed {
    /// Creates a generator from this seed.
    pub fn generator(self) -> Generator {
        Xoshiro256PlusPlus::seed_from_u64(self.0)
    }

    /// Derives the seed of the component `label`, independent of the seeds of other components.
    pub fn derive(self, label: u64) -> Self {
        // The odd constant of splitmix64 maps neighbouring labels to distant seeds.
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        Self(
            (self.0 ^ label.wrapping_mul(MULTIPLIER))
                .wrapping_mul(MULTIPLIER)
                .rotate_left(31),
        )
    }
}
