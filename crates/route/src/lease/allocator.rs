//! The leases of one workspace's limit.

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::{Grant, Request};

/// Part of a lease by which the ledger outwaits its holder, for clocks that run apart: one in so many.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// How long the division of the limit stands before it is worked out again.
const DIVISION_MAX_AGE: Millis = Millis(100);

/// What one node may hold.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Number of its last request.
    number: u64,
    /// Most that it may have in flight, whether the grant reaches it or not.
    max_held: u32,
    demand: u32,
    expires_at: Millis,
}

/// How the limit is divided: nobody gets more than the level beyond the spare part.
#[derive(Clone, Copy, Debug, Default)]
struct Division {
    fair_share: u32,
    spare: u32,
    computed_at: Option<Millis>,
}

/// Grants leases of one workspace's limit, which never sum above it.
#[derive(Clone, Debug)]
pub struct Allocator {
    term: u64,
    limit: u32,
    reserve: u32,
    span: Millis,
    /// Until when leases of an earlier term may run.
    handover_until: Millis,
    /// When the role ends on this node's own clock.
    role_ends_at: Millis,
    leases: IndexMap<Incarnation, Lease>,
    /// Sum of what the leases hold.
    leased: u32,
    division: Division,
}

impl Allocator {
    /// A ledger of this term that starts now and gives leases of this span.
    ///
    /// Leases of an earlier term may still run: until they have ended, each node keeps what it holds and no more.
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

    /// Keeps a part of the limit back: the floor of a holder times the greatest number of nodes.
    pub const fn with_reserve(mut self, requests: u32) -> Self {
        self.reserve = requests;
        self
    }

    /// The workspace is new, so no lease of an earlier term can run.
    pub const fn with_fresh_start(mut self) -> Self {
        self.handover_until = Millis::ZERO;
        self
    }

    /// Sets when the role ends; nothing is granted from then on.
    pub const fn set_role_end(&mut self, at: Millis) {
        self.role_ends_at = at;
    }

    /// Changes the limit. A lower one is reached as the nodes ask again.
    pub const fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.division.computed_at = None;
    }

    /// Answers a node's request; none if the role has ended or a later request was already answered.
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

    /// Sum of all that nodes may hold, ended leases included until the next division.
    pub const fn leased(&self) -> u32 {
        self.leased
    }

    /// Notes what the node may hold.
    ///
    /// NB: what it says to hold is exact, since it takes no grant to an earlier request any more.
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

    /// The node's part of the limit, as far as others don't hold it.
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

    /// Drops ended leases and works out the division: demands are met from the smallest up, what is over is spread evenly.
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

/// The time after which a lease has surely ended at its holder.
const fn with_drift_margin(span: Millis) -> Millis {
    Millis(span.0 + span.0 / CLOCK_DRIFT_DIVISOR)
}
