//! Deletions that are deferred after an outage of the store.

use base::Millis;
use indexmap::IndexMap;

/// Time after the store's recovery within which live writers restore records whose lease expired during the outage.
const REAPPEAR_TIMEOUT: Millis = Millis(2_000);
/// Time after the store's recovery during which a deletion may be due to a lease that expired in the outage.
const OUTAGE_WINDOW: Millis = Millis(2_500);

/// Decides when the deletion of a record means that its writer is gone.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingDeletions {
    recovered_at: Option<Millis>,
    /// Keys of deleted records, and when the deletions take effect.
    due: IndexMap<String, Millis>,
}

/// Whether a deletion takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Deletion {
    /// It takes effect immediately.
    Effective,
    /// It may be due to a lease that expired during the outage.
    Deferred {
        /// When the store was found to have recovered.
        recovered_at: Millis,
        /// When the deletion takes effect.
        due: Millis,
    },
}

impl PendingDeletions {
    /// Notes that the store is reachable again.
    pub fn store_recovered(&mut self, now: Millis) {
        self.recovered_at = Some(now);
    }

    /// Records a deletion; returns whether it takes effect.
    pub fn record_deletion(&mut self, now: Millis, key: &str) -> Deletion {
        let Some(recovered_at) = self.recovered_at.filter(|at| now.since(*at) < OUTAGE_WINDOW) else {
            return Deletion::Effective;
        };
        let due = recovered_at + REAPPEAR_TIMEOUT;
        let due = *self.due.entry(key.to_owned()).or_insert(due);
        Deletion::Deferred { recovered_at, due }
    }

    /// Cancels the deletion of a record that exists again.
    pub fn cancel(&mut self, key: &str) {
        self.due.swap_remove(key);
    }

    /// Removes and returns the keys whose records did not reappear in time.
    pub fn take_expired(&mut self, now: Millis) -> Vec<String> {
        let due = self.due.iter().filter(|(_, at)| now >= **at);
        let keys: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.due.swap_remove(key);
        }
        keys
    }
}
