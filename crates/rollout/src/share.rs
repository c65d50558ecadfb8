//! Shares of traffic.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A share of requests, in parts per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Share(u32);

impl Share {
    /// No requests.
    pub const ZERO: Self = Self(0);
    /// All requests.
    pub const FULL: Self = Self(1_000_000);

    /// A share of `ppm` parts per million, at most [`Share::FULL`].
    pub const fn new(ppm: u32) -> Self {
        if ppm > Self::FULL.0 { Self::FULL } else { Self(ppm) }
    }

    /// A share of `percent` percent, at most [`Share::FULL`].
    pub const fn from_percent(percent: u32) -> Self {
        Self::new(percent.saturating_mul(10_000))
    }

    /// The share in parts per million.
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// The share as a fraction between zero and one.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::FULL.0)
    }

    /// Twice the share, at most [`Share::FULL`].
    pub const fn doubled(self) -> Self {
        Self::new(self.0.saturating_mul(2))
    }

    /// Whether a uniform 64-bit `draw` falls within the share.
    pub const fn contains(self, draw: u64) -> bool {
        let scaled = (draw as u128 * Self::FULL.0 as u128) >> u64::BITS;
        (scaled as u32) < self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / 10_000.0)
    }
}
