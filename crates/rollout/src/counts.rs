//! Counts of requests of one version on one route.

use serde::{Deserialize, Serialize};

use crate::Signal;

/// Requests started and ended, and how many of them showed each signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that started.
    pub started: u64,
    /// Requests that ended, or were found hung.
    pub ended: u64,
    /// Of these, failed.
    pub failed: u64,
    /// Of these, slow.
    pub slow: u64,
    /// Of these, hung.
    pub hung: u64,
}

impl Counts {
    /// How many requests showed `signal`.
    pub const fn count(&self, signal: Signal) -> u64 {
        match signal {
            Signal::Failed => self.failed,
            Signal::Slow => self.slow,
            Signal::Hung => self.hung,
        }
    }

    /// Counts `requests` more that showed `signal`.
    pub const fn add(&mut self, signal: Signal, requests: u64) {
        match signal {
            Signal::Failed => self.failed += requests,
            Signal::Slow => self.slow += requests,
            Signal::Hung => self.hung += requests,
        }
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            started: self.started + other.started,
            ended: self.ended + other.ended,
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
            hung: self.hung + other.hung,
        }
    }

    /// What was counted since `earlier`.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            started: self.started.saturating_sub(earlier.started),
            ended: self.ended.saturating_sub(earlier.ended),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            hung: self.hung.saturating_sub(earlier.hung),
        }
    }
}
