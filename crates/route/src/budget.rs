//! Retry budgets: retries may only be a part of first dispatches.

/// Thousandths of a retry.
const RETRY: u32 = 1_000;
/// Thousandths of a retry that one percent of a dispatch earns.
const PERCENT: u32 = RETRY / 100;
/// Most retries saved up; a new budget starts with them.
const MOST: u32 = 10 * RETRY;

/// A token bucket that first dispatches fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    left: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { left: MOST }
    }
}

impl Budget {
    /// A first dispatch earns its percentage of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.left = self
            .left
            .saturating_add(percent.saturating_mul(PERCENT))
            .min(MOST);
    }

    /// Whether a retry is left.
    pub const fn has_retry(self) -> bool {
        self.left >= RETRY
    }

    /// Takes one retry.
    pub const fn spend(&mut self) {
        self.left = self.left.saturating_sub(RETRY);
    }
}
