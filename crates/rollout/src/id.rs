//! The identity of one declaration of a rollout.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::WallTime;

/// Low bits of an id that are drawn at random.
const RANDOM_BITS: u32 = 22;

/// The id that an operator's tool gives to a declaration: time first, so that later rollouts sort later.
///
/// A version declared anew has a new id, so an earlier veto does not hold against it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl Id {
    /// An id for a rollout declared at `start`; `random` tells declarations of the same millisecond apart.
    pub const fn new(start: WallTime, random: u64) -> Self {
        Self((start.0 << RANDOM_BITS) | (random >> (u64::BITS - RANDOM_BITS)))
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for Id {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
