//! Allocation of a workspace's limit to nodes by leases.

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::{Grant, Request};

/// The allocator keeps a lease longer than its holder by one part in this many, to allow for clock drift.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// Age after which the division of the limit is computed again.
const DIVISION_MAX_AGE: Millis = Millis(100);

/// The lease of one node.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Number of the last request of the node.
    number: u64,
    /// Maximum number of requests that the node may have in flight, whether or not the grant reaches it.
    max_held: u32,
    demand: u32,
    expires_at: Millis,
}

/// Division of the limit: each node gets its demand up to the fair share, plus the spare amount.
#[derive(Clone, Copy, Debug, Default)]
struct Division {
    fair_share: u32,
    spare: u32,
    computed_at: Option<Millis>,
}

/// Grants leases of a workspace's limit that never exceed it in total.
#[derive(Clone, Debug)]
pub struct Allocator {
    term: u64,
    limit: u32,
    reserve: u32,
    span: Millis,
    /// Time until which leases of an earlier term may be valid.
    handover_until: Millis,
    /// End of the role by this node's clock.
    role_ends_at: Millis,
    leases: IndexMap<Incarnation, Lease>,
    /// Sum of `max_held` over all leases.
    leased: u32,
    division: Division,
}

impl Allocator {
    /// Creates an allocator that starts now and grants leases of duration `span`.
    ///
    /// Leases of an earlier term may still be valid. Until they have expired, each node keeps at most what it holds.
    pub fn new(now: Millis, term: u64, limit: u32, span: Millis) -> Self {
        Self {
            term,
            limit,
            reserve: 0,
            span,
            handover_until: now + with_drift_margin(span),
            role_ends_at: Millis::NEVER,
            leases: IndexMap::new(),
            leased: 0,
            division: Division::default(),
        }
    }

    /// Reserves part of the limit: a holder's floor times the maximum number of nodes.
    pub const fn with_reserve(mut self, requests: u32) -> Self {
        self.reserve = requests;
        self
    }

    /// Declares that the workspace is new, so that no lease of an earlier term can be valid.
    pub const fn with_fresh_start(mut self) -> Self {
        self.handover_until = Millis::ZERO;
        self
    }

    /// Sets the end of the role, after which nothing is granted.
    pub const fn set_role_end(&mut self, at: Millis) {
        self.role_ends_at = at;
    }

    /// Changes the limit. A lower limit takes effect as the nodes renew their leases.
    pub const fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.division.computed_at = None;
    }

    /// Grants a lease to a node; `None` if the role has ended or this or a later request was already handled.
    pub fn grant(&mut self, now: Millis, node: Incarnation, request: Request) -> Option<Grant> {
        if now >= self.role_ends_at {
            return None;
        }
        let previous = self.leases.get(&node);
        if previous.is_some_and(|previous| request.number <= previous.number) {
            return None;
        }
        self.record(now, node, request, request.holds);
        self.divide(now);
        let amount = self.amount(now, request);
        self.record(now, node, request, request.holds.max(amount));
        Some(Grant {
            term: self.term,
            number: request.number,
            amount,
            span: self.span,
            renews: now < self.handover_until,
        })
    }

    /// Returns the total that nodes may hold. Expired leases are included until the next division.
    pub const fn leased(&self) -> u32 {
        self.leased
    }

    /// Records what the node may hold.
    ///
    /// The amount that the node claims to hold is exact, since it accepts no more grants for earlier requests.
    fn record(&mut self, now: Millis, node: Incarnation, request: Request, max_held: u32) {
        let lease = Lease {
            number: request.number,
            max_held,
            demand: request.demand,
            expires_at: now + with_drift_margin(self.span),
        };
        let previous = self.leases.insert(node, lease);
        self.leased += max_held;
        self.leased -= previous.map_or(0, |previous| previous.max_held);
    }

    /// Returns the node's part of the limit, as far as other nodes do not hold it.
    fn amount(&self, now: Millis, request: Request) -> u32 {
        let wanted = request.demand.min(self.division.fair_share) + self.division.spare;
        if now < self.handover_until {
            return wanted.min(request.holds);
        }
        let leased_to_others = self.leased - request.holds;
        wanted.min(self.leasable().saturating_sub(leased_to_others))
    }

    const fn leasable(&self) -> u32 {
        self.limit.saturating_sub(self.reserve)
    }

    /// Drops expired leases and computes a max-min fair division: demands are met from the smallest up, and the
    /// remainder is spread evenly.
    fn divide(&mut self, now: Millis) {
        let is_fresh = |at: Millis| now.since(at) < DIVISION_MAX_AGE;
        if self.division.computed_at.is_some_and(is_fresh) {
            return;
        }
        self.leases.retain(|_, lease| lease.expires_at > now);
        self.leased = self.leases.values().map(|lease| lease.max_held).sum();
        let mut demands: Vec<u32> = self.leases.values().map(|lease| lease.demand).collect();
        demands.sort_unstable();
        let mut remaining = self.leasable();
        let mut nodes = demands.len() as u32;
        let mut fair_share = u32::MAX;
        for demand in demands {
            if demand > remaining / nodes {
                fair_share = remaining / nodes;
                remaining = 0;
                break;
            }
            remaining -= demand;
            nodes -= 1;
        }
        self.division = Division {
            fair_share,
            spare: remaining / (self.leases.len() as u32).max(1),
            computed_at: Some(now),
        };
    }
}

/// Returns the time after which a lease has expired at its holder even with clock drift.
const fn with_drift_margin(span: Millis) -> Millis {
    Millis(span.0 + span.0 / CLOCK_DRIFT_DIVISOR)
}
