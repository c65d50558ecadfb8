//! The node's side of a lease.

use base::Millis;

use super::{Grant, Request};

/// One node's share of a workspace's limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Holder {
    /// Share that the node has without a lease.
    floor: u32,
    term: u64,
    /// Number of the last request.
    last_request: u64,
    /// Time of the last request.
    requested_at: Millis,
    leased: u32,
    expires_at: Millis,
}

impl Holder {
    /// Creates a holder without a lease.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the share that the node has without a lease, so that it keeps serving when no allocator is reachable.
    ///
    /// The allocator must reserve it for every node, see `Allocator::with_reserve`.
    pub const fn with_floor(mut self, requests: u32) -> Self {
        self.floor = requests;
        self
    }

    /// Returns the number of requests that the node may have in flight now.
    pub const fn share(&self, now: Millis) -> u32 {
        self.floor + self.leased(now)
    }

    /// Creates the next request to the allocator, which must be sent at once.
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

    /// Applies a grant and returns whether it is valid. Expired grants, grants for earlier requests and grants of older
    /// terms are ignored.
    pub fn accept(&mut self, now: Millis, grant: Grant) -> bool {
        let expires_at = self.requested_at + grant.span;
        if grant.number != self.last_request || grant.term < self.term || expires_at <= now {
            return false;
        }
        // The previous allocator may have leased the expired amount to other nodes.
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
