//! Age of the node's view of the store.

use base::Millis;

/// Margin for clock drift and for the time from the check of an API key until the request reaches the replica.
const MARGIN: Millis = Millis(250);

/// When the view was last confirmed to be complete.
///
/// The time counts from when the confirming call was sent: its response includes every change accepted before that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Millis>,
}

impl Freshness {
    /// Records that the response to a call sent at `sent` has been applied to the view.
    pub fn confirm(&mut self, sent: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Age of the view; `None` if it was never confirmed.
    pub fn age(self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether every API key in the view was still valid less than `limit` ago, with a margin.
    pub fn is_within(self, now: Millis, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < limit)
    }
}
