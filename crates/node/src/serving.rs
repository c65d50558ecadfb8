//! Whether this node may accept new work.

use base::Millis;
use member::Generation;
use member::config::Refusal;

/// Latest decision of the configuration state machine, with its validity.
#[derive(Clone, Copy, Debug)]
pub struct Serving {
    /// The generation to serve with, or why new work must be refused.
    pub result: Result<Generation, Refusal>,
    /// Time until which the result is valid; after a pause of the process it has expired.
    pub valid_until: Millis,
}

impl Serving {
    /// State before the first decision.
    pub const fn syncing() -> Self {
        Self {
            result: Err(Refusal::Syncing),
            valid_until: Millis::NEVER,
        }
    }

    /// The result at `now`.
    pub fn at(&self, now: Millis) -> Result<Generation, Refusal> {
        if now > self.valid_until {
            return Err(Refusal::Syncing);
        }
        self.result
    }
}
