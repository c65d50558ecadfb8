//! When a refused request may be tried again.

use base::Millis;

use crate::Class;

/// Part of the time left up to which callers wait for another try.
const WAITED_PART: u64 = 3;
/// Part of the time until a request is late that may pass before it comes back, so that it can still be on time.
const ON_TIME_PART: u64 = 4;
/// Spread of the waits: callers that are refused at the same moment come back over this multiple of the wait.
const SPREAD: f64 = 1.0;
/// Additional wait of each less urgent class, in multiples of the wait, and its maximum.
const WAIT_PER_RANK: f64 = 0.5;
const MAX_RANK: usize = 3;

/// What is known of a refused request.
///
/// Load pattern: thousands of refusals within seconds. If callers are told a time in which nothing changes, or all the same
/// time, they come back at once, are refused again, and take the tokens from those that come first. If they are told to come
/// back later than they can be on time, requests are late that the next try would have served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Class of the request.
    pub class: Class,
    /// Time in which something can change.
    pub earliest: Millis,
    /// Time after which capacity for the class is expected.
    pub expected: Millis,
    /// Time until the request is late.
    pub target_left: Millis,
    /// Time until the request's deadline.
    pub time_left: Millis,
}

impl Retry {
    /// Returns the time after which the request may be tried again. `draw` is uniform between 0 and 1.
    ///
    /// It is no shorter than `earliest`, unless the deadline is earlier, and otherwise no longer than callers wait, and than a
    /// request may wait that can still be on time.
    pub fn wait(&self, draw: f64) -> Millis {
        let rank = self.class.index().min(MAX_RANK) as f64;
        let expected = self.expected.max(self.earliest).0 as f64;
        let waited = Millis(self.time_left.0 / WAITED_PART);
        let on_time = Millis(self.target_left.0 / ON_TIME_PART);
        let longest = if on_time > self.earliest {
            waited.min(on_time)
        } else {
            waited
        };
        // The spread is also kept where the bound applies: callers must not all come back at the bound.
        let longest = longest.max(self.earliest).0 as f64;
        let start = expected.mul_add(WAIT_PER_RANK * rank, expected);
        let start = start.min(longest / (1.0 + SPREAD)).max(self.earliest.0 as f64);
        let wait = (start * SPREAD).mul_add(draw, start).min(longest);
        Millis(wait as u64).min(self.time_left)
    }
}
