//! Exponential backoff after refused starts.

use base::Millis;

/// The backoff of one offer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    refusals: u32,
    until: Millis,
}

impl Backoff {
    pub(crate) fn record_refusal(&mut self, now: Millis, initial: Millis, max: Millis) {
        if self.is_active(now) {
            // Several starts may be requested together; their refusals count once.
            return;
        }
        let wait = initial.0.saturating_mul(1 << self.refusals.min(16));
        self.refusals += 1;
        self.until = now + Millis(wait.min(max.0));
    }

    pub(crate) fn is_active(&self, now: Millis) -> bool {
        now < self.until
    }
}
