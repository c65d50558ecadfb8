//! Conditions that decide how often a fault occurs.

use rand::RngExt;
use serde::{Deserialize, Serialize};

/// Denominator of probabilities in parts per million.
const MILLION: u32 = 1_000_000;

/// Fires for the next `next` calls, and after that at random.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trigger {
    /// Number of next calls for which the trigger always fires.
    pub next: u32,
    /// Probability of firing for any other call, in parts per million.
    pub ppm: u32,
}

impl Trigger {
    /// Creates a trigger that fires for the next `next` calls.
    pub const fn next(next: u32) -> Self {
        Self { next, ppm: 0 }
    }

    /// Creates a trigger that fires at random.
    pub const fn ppm(ppm: u32) -> Self {
        Self { next: 0, ppm }
    }

    /// Whether the trigger fires for this call.
    pub fn fires<R>(&mut self, rng: &mut R) -> bool
    where
        R: rand::Rng,
    {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.ppm > 0 && rng.random_range(0..MILLION) < self.ppm
    }
}
