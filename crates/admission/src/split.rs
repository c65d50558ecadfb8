//! Splits what a limit leaves among the classes that ask for it.

use crate::Class;

/// Part of the budget that is given to all classes in proportion to their demand, so that none starves.
const COMMON_PART: f64 = 0.1;
/// Part of the limit up to which the most urgent classes together are protected by a reserve.
const PROTECTED_PART: f64 = 0.25;
/// Part of the demand from which classes beside the largest one count.
const MIN_DEMAND_PART: f64 = 0.005;
/// Time for which the reserve covers the demand of the protected classes. The balance varies by several large prompts
/// within that time.
const RESERVE_MS: f64 = 4_000.0;
/// Maximum part of the bucket that is kept as reserve.
const MAX_RESERVE_PART: f64 = 0.08;

/// A limit and the demand of all classes for it.
///
/// Load pattern: a workspace sends a multiple of its limit, and the large prompts of less urgent classes use it up before
/// small and urgent requests arrive, which are 1 or 2 in 100 tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Demand by [`Class::index`], in tokens per millisecond.
    pub demand: [f64; Class::COUNT],
    /// The limit, in tokens per millisecond.
    pub rate: f64,
    /// Tokens that may be spent now.
    pub balance: f64,
    /// Maximum of the balance.
    pub capacity: f64,
    /// Time until spent tokens are known to all that spend them, in milliseconds.
    pub delay_ms: f64,
}

impl Split {
    /// Demand of all classes, in tokens per millisecond.
    pub fn total_demand(&self) -> f64 {
        self.demand.iter().sum()
    }

    /// Whether a class, with all that are more urgent, demands so little that it is protected by a reserve.
    pub fn is_protected(&self, class: Class) -> bool {
        self.demand_up_to(class) <= self.rate * PROTECTED_PART
    }

    /// Part of the requests of a class that may be admitted, between 0 and 1.
    ///
    /// All nodes together admit about the balance in the time that reports take, whatever the classes.
    pub fn admitted_part(&self, class: Class) -> f64 {
        if self.is_protected(class) {
            return part(self.balance, self.demand_up_to(class) * self.delay_ms);
        }
        let protected = self.protected_demand();
        let budget = self.balance - self.reserve(protected);
        if budget <= 0.0 {
            return 0.0;
        }
        let demand = (self.total_demand() - protected) * self.delay_ms;
        let common = COMMON_PART * part(budget, demand);
        let more_urgent = (self.demand_up_to(class) - self.demand[class.index()] - protected) * self.delay_ms;
        let left = budget - common * demand - (1.0 - common) * more_urgent;
        let own = self.demand[class.index()] * self.delay_ms;
        common + part(left.max(0.0), own).min(1.0 - common)
    }

    /// Tokens that only protected classes may use.
    fn reserve(&self, protected: f64) -> f64 {
        // Otherwise the other classes could not use the rest of the limit within the time that reports take.
        let spare = self.rate.mul_add(-self.delay_ms, self.capacity).max(0.0);
        let covered = protected * RESERVE_MS;
        covered.min(self.capacity * MAX_RESERVE_PART).min(spare)
    }

    fn demand_up_to(&self, class: Class) -> f64 {
        self.demand[..=class.index()].iter().sum()
    }

    fn protected_demand(&self) -> f64 {
        let mut sum = 0.0;
        for demand in self.demand {
            if sum + demand > self.rate * PROTECTED_PART {
                break;
            }
            sum += demand;
        }
        sum
    }
}

/// Whether several classes compete, by their demands.
pub fn is_mixed(demand: &[f64; Class::COUNT]) -> bool {
    let total: f64 = demand.iter().sum();
    let largest = demand.iter().copied().fold(0.0, f64::max);
    total - largest > total * MIN_DEMAND_PART
}

fn part(available: f64, demand: f64) -> f64 {
    (available / demand.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}
