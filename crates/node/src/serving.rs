//! Whether this node may take new work now.

use base::Millis;
use member::Generation;
use member::config::Refusal;

/// What the configuration's state machine said last, and how long that holds.
#[derive(Clone, Copy, Debug)]
pub struct Serving {
    /// The generation to serve with, or why no new work may be taken.
    pub result: Result<Generation, Refusal>,
    /// The verdict holds until then: a process that was paused finds it lapsed.
    pub valid_until: Millis,
}

impl Serving {
    /// Before the first verdict.
    pub const fn syncing() -> Self {
        Self {
            result: Err(Refusal::Syncing),
            valid_until: Millis::NEVER,
        }
    }

    /// The verdict at `now`.
    pub fn at(&self, now: Millis) -> Result<Generation, Refusal> {
        if now > self.valid_until {
            return Err(Refusal::Syncing);
        }
        self.result
    }
}
