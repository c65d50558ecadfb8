//! How often a fault strikes.

use rand::RngExt;
use serde::{Deserialize, Serialize};

/// Chances in a million.
const MILLION: u32 = 1_000_000;

/// Strikes the next `next` calls, and others by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trigger {
    /// Calls that are sure to be struck.
    pub next: u32,
    /// Chance of any other call, parts in a million.
    pub ppm: u32,
}

impl Trigger {
    /// Strikes the next `next` calls.
    pub const fn next(next: u32) -> Self {
        Self { next, ppm: 0 }
    }

    /// Strikes by chance.
    pub const fn ppm(ppm: u32) -> Self {
        Self { next: 0, ppm }
    }

    /// Whether this call is struck.
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
