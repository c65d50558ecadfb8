//! How old the node's view of the store may be.

use base::Millis;

/// Taken off the life of API keys: drift of the clock, and the way of a request from its check to the replica.
const MARGIN: Millis = Millis(250);

/// When the view was last shown to be complete.
///
/// It counts from when the call was sent whose answer shows it: a change that was accepted before is in that answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proof {
    at: Option<Millis>,
}

impl Proof {
    /// A call that was sent then was answered, and its answer is part of the view.
    pub fn note(&mut self, sent: Millis) {
        self.at = self.at.max(Some(sent));
    }

    /// Age of the view; `None` if there never was one.
    pub fn age(self, now: Millis) -> Option<Millis> {
        self.at.map(|at| now.since(at))
    }

    /// Whether no API key that is in the view can have been taken away for as long as `life`.
    pub fn holds(self, now: Millis, life: Millis) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < life)
    }
}
