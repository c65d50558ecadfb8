//! The leases of one workspace's limit.

use base::{Incarnation, Millis};
use indexmap::IndexMap;

use super::{Ask, Grant};

/// Part of a lease by which the ledger outwaits its holder, for clocks that run apart: one in so many.
const DRIFT: u64 = 20;
/// How long the division of the limit stands before it is worked out again.
const DIVISION_LIFE: Millis = Millis(100);

/// What one node may hold.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Number of its last request.
    number: u64,
    /// Most that it may have in flight, whether the grant reaches it or not.
    held: u32,
    demand: u32,
    until: Millis,
}

/// How the limit is divided: nobody gets more than the level beyond the spare part.
#[derive(Clone, Copy, Debug, Default)]
struct Division {
    level: u32,
    spare: u32,
    worked_out_at: Option<Millis>,
}

/// Grants leases of one workspace's limit, which never sum above it.
#[derive(Clone, Debug)]
pub struct Ledger {
    term: u64,
    limit: u32,
    reserve: u32,
    span: Millis,
    /// Until when leases of an earlier term may run.
    inherits_until: Millis,
    /// When the role ends on this node's own clock.
    ends_at: Millis,
    leases: IndexMap<Incarnation, Lease>,
    /// Sum of what the leases hold.
    lent: u32,
    division: Division,
}

impl Ledger {
    /// A ledger of this term that starts now and gives leases of this span.
    ///
    /// Leases of an earlier term may still run: until they have ended, each node keeps what it holds and no more.
    pub fn new(now: Millis, term: u64, limit: u32, span: Millis) -> Self {
        Self {
            term,
            limit,
            reserve: 0,
            span,
            inherits_until: now + outwait(span),
            ends_at: Millis::NEVER,
            leases: IndexMap::new(),
            lent: 0,
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
        self.inherits_until = Millis::ZERO;
        self
    }

    /// Sets when the role ends; nothing is granted from then on.
    pub const fn set_end(&mut self, at: Millis) {
        self.ends_at = at;
    }

    /// Changes the limit. A lower one is reached as the nodes ask again.
    pub const fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.division.worked_out_at = None;
    }

    /// Answers a node's request; none if the role has ended or a later request was already answered.
    pub fn grant(&mut self, now: Millis, node: Incarnation, ask: Ask) -> Option<Grant> {
        if now >= self.ends_at {
            return None;
        }
        let old = self.leases.get(&node);
        if old.is_some_and(|old| ask.number <= old.number) {
            return None;
        }
        self.note(now, node, ask, ask.holds);
        self.divide(now);
        let amount = self.amount(now, ask);
        self.note(now, node, ask, ask.holds.max(amount));
        Some(Grant {
            term: self.term,
            number: ask.number,
            amount,
            span: self.span,
            renews: now < self.inherits_until,
        })
    }

    /// Sum of all that nodes may hold, ended leases included until the next division.
    pub const fn lent(&self) -> u32 {
        self.lent
    }

    /// Notes what the node may hold.
    ///
    /// NB: what it says to hold is exact, since it takes no grant to an earlier request any more.
    fn note(&mut self, now: Millis, node: Incarnation, ask: Ask, held: u32) {
        let lease = Lease {
            number: ask.number,
            held,
            demand: ask.demand,
            until: now + outwait(self.span),
        };
        let old = self.leases.insert(node, lease);
        self.lent += held;
        self.lent -= old.map_or(0, |old| old.held);
    }

    /// The node's part of the limit, as far as others don't hold it.
    fn amount(&self, now: Millis, ask: Ask) -> u32 {
        let wanted = ask.demand.min(self.division.level) + self.division.spare;
        if now < self.inherits_until {
            return wanted.min(ask.holds);
        }
        let others = self.lent - ask.holds;
        wanted.min(self.lendable().saturating_sub(others))
    }

    const fn lendable(&self) -> u32 {
        self.limit.saturating_sub(self.reserve)
    }

    /// Drops ended leases and works out the division: demands are met from the smallest up, what is over is spread evenly.
    fn divide(&mut self, now: Millis) {
        let is_young = |at: Millis| now.since(at) < DIVISION_LIFE;
        if self.division.worked_out_at.is_some_and(is_young) {
            return;
        }
        self.leases.retain(|_, lease| lease.until > now);
        self.lent = self.leases.values().map(|lease| lease.held).sum();
        let mut demands: Vec<u32> = self.leases.values().map(|lease| lease.demand).collect();
        demands.sort_unstable();
        let mut left = self.lendable();
        let mut nodes = demands.len() as u32;
        let mut level = u32::MAX;
        for demand in demands {
            if demand > left / nodes {
                level = left / nodes;
                left = 0;
                break;
            }
            left -= demand;
            nodes -= 1;
        }
        self.division = Division {
            level,
            spare: left / (self.leases.len() as u32).max(1),
            worked_out_at: Some(now),
        };
    }
}

/// The time after which a lease has surely ended at its holder.
const fn outwait(span: Millis) -> Millis {
    Millis(span.0 + span.0 / DRIFT)
}
