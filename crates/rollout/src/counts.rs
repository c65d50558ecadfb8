//! Counts of requests of one version on one route.

use serde::{Deserialize, Serialize};

use crate::Signal;

/// Requests finished, and how many of them showed each signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended, or were found hung.
    pub requests: u64,
    /// Of these, failed.
    pub failed: u64,
    /// Of these, slow.
    pub slow: u64,
    /// Of these, hung.
    pub hung: u64,
}

impl Counts {
    /// How many requests showed `signal`.
    pub const fn of(&self, signal: Signal) -> u64 {
        match signal {
            Signal::Failed => self.failed,
            Signal::Slow => self.slow,
            Signal::Hung => self.hung,
        }
    }

    /// Counts one more request that showed `signal`.
    pub const fn add(&mut self, signal: Signal) {
        match signal {
            Signal::Failed => self.failed += 1,
            Signal::Slow => self.slow += 1,
            Signal::Hung => self.hung += 1,
        }
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
            hung: self.hung + other.hung,
        }
    }

    /// What was counted since `earlier`.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            hung: self.hung.saturating_sub(earlier.hung),
        }
    }
}
