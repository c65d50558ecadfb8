//! Retry budgets: retries may only be a part of first dispatches.

/// Thousandths of a retry.
const UNITS_PER_RETRY: u32 = 1_000;
/// Thousandths of a retry that one percent of a dispatch earns.
const UNITS_PER_PERCENT: u32 = UNITS_PER_RETRY / 100;
/// Most retries saved up; a new budget starts with them.
const MAX_BALANCE: u32 = 10 * UNITS_PER_RETRY;

/// A token bucket that first dispatches fill and retries empty.
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
    /// A first dispatch earns its percentage of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.balance = self
            .balance
            .saturating_add(percent.saturating_mul(UNITS_PER_PERCENT))
            .min(MAX_BALANCE);
    }

    /// Whether a retry is left.
    pub const fn has_retry(self) -> bool {
        self.balance >= UNITS_PER_RETRY
    }

    /// Takes one retry.
    pub const fn withdraw(&mut self) {
        self.balance = self.balance.saturating_sub(UNITS_PER_RETRY);
    }
}
