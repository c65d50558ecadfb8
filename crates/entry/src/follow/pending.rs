//! Records that vanished while the store was away.

use base::Millis;
use indexmap::IndexMap;

/// Time after the store's return within which records that lapsed meanwhile come back if their writers live.
const REAPPEAR_TIMEOUT: Millis = Millis(2_000);
/// Time after an outage in which a vanished record may be one that lapsed in it.
const OUTAGE_WINDOW: Millis = Millis(2_500);

/// When to believe that a vanished record's writer is gone.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingDeletions {
    recovered_at: Option<Millis>,
    /// Keys and when they are taken as gone.
    due: IndexMap<String, Millis>,
}

impl PendingDeletions {
    /// The store answers again.
    pub fn store_recovered(&mut self, now: Millis) {
        self.recovered_at = Some(now);
    }

    /// A record has vanished; whether its writer is to be taken as gone at once.
    pub fn record_deletion(&mut self, now: Millis, key: &str) -> bool {
        let Some(recovered_at) = self.recovered_at.filter(|at| now.since(*at) < OUTAGE_WINDOW) else {
            return true;
        };
        self.due
            .entry(key.to_owned())
            .or_insert(recovered_at + REAPPEAR_TIMEOUT);
        false
    }

    /// A record is there.
    pub fn cancel(&mut self, key: &str) {
        self.due.swap_remove(key);
    }

    /// Keys whose writers did not come back.
    pub fn take_expired(&mut self, now: Millis) -> Vec<String> {
        let due = self.due.iter().filter(|(_, at)| now >= **at);
        let keys: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.due.swap_remove(key);
        }
        keys
    }
}
