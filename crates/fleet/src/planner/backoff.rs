//! Waits after refused starts.

use base::Millis;

/// The wait of one offer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
    until: Millis,
}

impl Backoff {
    pub(crate) fn fail(&mut self, now: Millis, first: Millis, longest: Millis) {
        if self.is_closed(now) {
            // Refusals of starts that were asked for together count once.
            return;
        }
        let wait = first.0.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        self.until = now + Millis(wait.min(longest.0));
    }

    pub(crate) fn is_closed(&self, now: Millis) -> bool {
        now < self.until
    }
}
