//! How old the node's view of the store may be.

use base::Millis;

/// Taken off the life of API keys: drift of the clock, and the way of a request from its check to the replica.
const MARGIN: Millis = Millis(250);

/// When the view was last shown to be complete.
///
/// It counts from when the call was sent whose answer shows it: a change that was accepted before is in that answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// A call that was sent then was answered, and its answer is part of the view.
    pub fn confirm(&mut self, sent: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Age of the view; `None` if there never was one.
    pub fn age(self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether no API key that is in the view can have been taken away for as long as `life`.
    pub fn is_within(self, now: Millis, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < limit)
    }
}
