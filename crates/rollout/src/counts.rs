//! Request counters of one version on one route.

use serde::{Deserialize, Serialize};

use crate::Signal;

/// Numbers of requests started, ended, and ended with each signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Counts {
    /// Requests started.
    pub started: u64,
    /// Requests that ended or were counted as hung.
    pub ended: u64,
    /// Ended requests that failed.
    pub failed: u64,
    /// Ended requests that were slow.
    pub slow: u64,
    /// Ended requests that were hung.
    pub hung: u64,
}

impl Counts {
    /// Number of requests with `signal`.
    pub const fn count(&self, signal: Signal) -> u64 {
        match signal {
            Signal::Failed => self.failed,
            Signal::Slow => self.slow,
            Signal::Hung => self.hung,
        }
    }

    /// Adds `requests` requests with `signal`.
    pub const fn add(&mut self, signal: Signal, requests: u64) {
        match signal {
            Signal::Failed => self.failed += requests,
            Signal::Slow => self.slow += requests,
            Signal::Hung => self.hung += requests,
        }
    }

    /// Sum of both counters.
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

    /// Difference to an `earlier` reading.
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
