//! Retry budgets, which limit retries to a percentage of first dispatches.

/// Balance that one retry costs.
const UNITS_PER_RETRY: u32 = 1_000;
/// Balance that a first dispatch earns for each percent of allowed retries.
const UNITS_PER_PERCENT: u32 = UNITS_PER_RETRY / 100;
/// Maximum balance, equal to ten retries. A new budget starts with it.
const MAX_BALANCE: u32 = 10 * UNITS_PER_RETRY;

/// A token bucket that first dispatches fill and retries drain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    balance: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl Budget {
    /// Adds what a first dispatch earns: `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.balance = self
            .balance
            .saturating_add(percent.saturating_mul(UNITS_PER_PERCENT))
            .min(MAX_BALANCE);
    }

    /// Whether the balance allows a retry.
    pub const fn has_retry(self) -> bool {
        self.balance >= UNITS_PER_RETRY
    }

    /// Takes the cost of one retry.
    pub const fn withdraw(&mut self) {
        self.balance = self.balance.saturating_sub(UNITS_PER_RETRY);
    }
}
