//! The load of an endpoint.

use std::ops::{Add, Mul};

use serde::{Deserialize, Serialize};

/// Load, as numbers of replicas that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// By what each request brings: the own part of its prompt, and the tokens generated for it.
    pub own: f64,
    /// By the shared parts of prompts, if replicas had none of them cached.
    pub shared: f64,
    /// By the slots that requests occupy.
    pub slots: f64,
}

impl Load {
    /// Replicas kept busy while this fraction of the shared parts is not cached. A replica computes and holds slots at
    /// the same time, so the scarcer of the two counts.
    pub fn with_uncached(self, uncached: f64) -> f64 {
        uncached.mul_add(self.shared, self.own).max(self.slots)
    }

    /// Replicas kept busy with cold caches.
    pub fn total(self) -> f64 {
        self.with_uncached(1.0)
    }
}

impl Add for Load {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            own: self.own + rhs.own,
            shared: self.shared + rhs.shared,
            slots: self.slots + rhs.slots,
        }
    }
}

impl Mul<f64> for Load {
    type Output = Self;

    fn mul(self, rhs: f64) -> Self {
        Self {
            own: self.own * rhs,
            shared: self.shared * rhs,
            slots: self.slots * rhs,
        }
    }
}
