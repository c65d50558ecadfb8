//! How long answers take, by kind of request.

use std::sync::Arc;

use base::Millis;
use indexmap::IndexMap;

/// Time after which an answer no longer counts, twice that at most.
const PERIOD: Millis = Millis(60_000);
/// Maximum number of kinds.
const MAX_KINDS: usize = 1_024;

/// The longest times that recent answers took, by kind of request.
///
/// Load pattern: a node shuts down, and streams that take longer than the rest of its time arrive. Their deadlines are far later
/// than their usual ends, so that only experience tells which of them can end in time.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    kinds: IndexMap<Arc<str>, Longest>,
}

#[derive(Clone, Copy, Debug)]
struct Longest {
    /// Start of the current period.
    since: Millis,
    current: Millis,
    /// The longest time of the period before.
    previous: Millis,
}

impl Longest {
    /// Begins the periods that have begun by now.
    fn advance(&mut self, now: Millis) {
        let age = now.since(self.since);
        if age < PERIOD {
            return;
        }
        self.previous = if age.0 < 2 * PERIOD.0 {
            self.current
        } else {
            Millis::ZERO
        };
        self.current = Millis::ZERO;
        self.since = now;
    }
}

impl Durations {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an answer of this kind took so long.
    pub fn record(&mut self, now: Millis, kind: &Arc<str>, took: Millis) {
        if let Some(longest) = self.kinds.get_mut(kind) {
            longest.advance(now);
            longest.current = longest.current.max(took);
            return;
        }
        if self.kinds.len() == MAX_KINDS {
            self.kinds.shift_remove_index(0);
        }
        let longest = Longest {
            since: now,
            current: took,
            previous: Millis::ZERO,
        };
        self.kinds.insert(Arc::clone(kind), longest);
    }

    /// The longest time of recent answers of this kind; `None` if there were none.
    #[must_use]
    pub fn longest(&self, now: Millis, kind: &str) -> Option<Millis> {
        let mut longest = *self.kinds.get(kind)?;
        longest.advance(now);
        let longest = longest.current.max(longest.previous);
        (longest > Millis::ZERO).then_some(longest)
    }
}
