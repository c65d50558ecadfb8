//! A token bucket that holds one second's worth of calls.

use base::Millis;

/// Thousandths of a call that one call costs.
const CALL: u64 = 1_000;

/// Calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    tokens: u64,
    filled: Millis,
    per_s: u32,
}

impl Rate {
    /// Takes one call at `per_s` calls a second; false if there are too many. Zero is without limit.
    pub fn admit(&mut self, now: Millis, per_s: u32) -> bool {
        if per_s == 0 {
            return true;
        }
        let full = u64::from(per_s) * CALL;
        if self.per_s != per_s {
            self.per_s = per_s;
            self.tokens = full;
            self.filled = now;
        }
        let earned = now.since(self.filled).0 * u64::from(per_s);
        self.tokens = (self.tokens + earned).min(full);
        self.filled = now;
        if self.tokens < CALL {
            return false;
        }
        self.tokens -= CALL;
        true
    }
}
