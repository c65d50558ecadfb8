//! Waits and timeouts.

use base::Millis;

/// Share of the apply time for which a watch waits at the store.
const WATCH_RATIO: u64 = 8;
/// Maximum time that a watch waits. A reader confirms nothing meanwhile.
const MAX_WATCH: Millis = Millis(500);
/// Minimum time that a watch waits.
const MIN_WATCH: Millis = Millis(200);
/// Delay of a reader's next call after one with changes, so that a burst of changes costs few calls.
const BATCH_DELAY: Millis = Millis(250);
/// Delay of a reader's next call after one without changes, in which the askers ask again.
const ASK_DELAY: Millis = Millis(30);
/// Time for the messages between nodes, and for a reader that is busy.
const ANSWER_MARGIN: Millis = Millis(250);

/// The pace at which the store is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    apply_time: Millis,
}

impl Pace {
    /// Creates the pace for changes that must take effect within `apply_time`.
    pub const fn new(apply_time: Millis) -> Self {
        Self { apply_time }
    }

    /// Maximum time that a reader's watch waits at the store.
    pub fn watch_timeout(self) -> Millis {
        Millis(self.apply_time.0 / WATCH_RATIO).clamp(MIN_WATCH, MAX_WATCH)
    }

    /// Delay of a reader's next call.
    pub const fn call_delay(self, has_changes: bool) -> Millis {
        if has_changes { BATCH_DELAY } else { ASK_DELAY }
    }

    /// Time after which a reader that has not answered counts as unreachable: a question that arrives just after a call
    /// waits for that call, the delay and another call.
    pub fn answer_timeout(self) -> Millis {
        self.watch_timeout() + BATCH_DELAY + self.watch_timeout() + ANSWER_MARGIN
    }
}
