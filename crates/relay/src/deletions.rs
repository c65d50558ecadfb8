//! Deletions that are deferred after an outage of the store.

use base::Millis;
use indexmap::IndexMap;

/// Time after the end of an outage within which live writers restore records whose lease expired in it.
const REAPPEAR_TIMEOUT: Millis = Millis(1_800);

/// Decides when the deletion of a record means that its writer is gone.
#[derive(Clone, Debug, Default)]
pub struct Deletions {
    /// Keys of deleted records, and when the deletions take effect at the latest.
    due: IndexMap<String, Millis>,
}

impl Deletions {
    /// Records a deletion. `up_since` is when the last outage of the store ended, if one is known. Returns when the deletion
    /// takes effect; `None` if that is now.
    pub fn record(&mut self, now: Millis, up_since: Option<Millis>, key: &str) -> Option<Millis> {
        if is_settled(now, up_since) {
            return None;
        }
        let due = up_since? + REAPPEAR_TIMEOUT;
        Some(*self.due.entry(key.to_owned()).or_insert(due))
    }

    /// Cancels the deletion of a record that exists again.
    pub fn cancel(&mut self, key: &str) {
        self.due.swap_remove(key);
    }

    /// When the next deletion takes effect unless its record reappears; `None` if none is deferred.
    pub fn next_due(&self, up_since: Option<Millis>) -> Option<Millis> {
        let settled_at = up_since.map_or(Millis::ZERO, |since| since + REAPPEAR_TIMEOUT);
        let first = self.due.values().copied().min()?;
        Some(first.min(settled_at))
    }

    /// Removes and returns the keys whose deletions take effect: their records did not reappear in time, or there was no
    /// outage.
    pub fn take_due(&mut self, now: Millis, up_since: Option<Millis>) -> Vec<String> {
        let is_settled = is_settled(now, up_since);
        let due = self.due.iter().filter(|(_, due)| is_settled || **due <= now);
        let keys: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.due.swap_remove(key);
        }
        keys
    }
}

/// Whether the records that exist by now are those of all live writers.
fn is_settled(now: Millis, up_since: Option<Millis>) -> bool {
    up_since.is_none_or(|since| now >= since + REAPPEAR_TIMEOUT)
}
