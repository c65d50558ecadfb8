//! A node's lease of one workspace's limit.

use base::Millis;

use super::{Grant, Request};

/// One node's share of one workspace's limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Holder {
    /// Share without any lease.
    floor: u32,
    term: u64,
    /// Number of the last request.
    last_request: u64,
    /// When the last request was sent.
    requested_at: Millis,
    leased: u32,
    expires_at: Millis,
}

impl Holder {
    /// A holder without a lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the share that the node has without any lease, so that it serves on when no ledger can be reached.
    ///
    /// NB: the ledger must reserve it for every node, see `Ledger::with_reserve`.
    pub const fn with_floor(mut self, requests: u32) -> Self {
        self.floor = requests;
        self
    }

    /// Requests that the node may have in flight now.
    pub const fn share(&self, now: Millis) -> u32 {
        self.floor + self.leased(now)
    }

    /// The next request to the ledger, to be sent at once.
    pub fn request(&mut self, now: Millis, in_flight: u32, demand: u32) -> Request {
        self.last_request += 1;
        self.requested_at = now;
        let leased = self.leased(now);
        Request {
            number: self.last_request,
            holds: leased.max(in_flight.saturating_sub(self.floor)),
            demand: demand.saturating_sub(self.floor),
        }
    }

    /// Takes in the answer to the last request; answers to earlier requests and those of older terms are ignored. Whether it counts.
    pub fn accept(&mut self, now: Millis, grant: Grant) -> bool {
        let expires_at = self.requested_at + grant.span;
        if grant.number != self.last_request || grant.term < self.term || expires_at <= now {
            return false;
        }
        // The earlier ledger may have lent a lease that ended to others.
        if grant.renews && self.leased(now) < grant.amount {
            return false;
        }
        self.term = grant.term;
        self.leased = grant.amount;
        self.expires_at = expires_at;
        true
    }

    const fn leased(&self, now: Millis) -> u32 {
        if now.0 < self.expires_at.0 { self.leased } else { 0 }
    }
}
