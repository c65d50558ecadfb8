//! Records that vanished while the store was away.

use base::Millis;
use indexmap::IndexMap;

/// Time after the store's return within which records that lapsed meanwhile come back if their writers live.
const BACK_WITHIN: Millis = Millis(2_000);
/// Time after an outage in which a vanished record may be one that lapsed in it.
const AFTER_OUTAGE: Millis = Millis(2_500);

/// When to believe that a vanished record's writer is gone.
#[derive(Clone, Debug, Default)]
pub(super) struct Missing {
    regained: Option<Millis>,
    /// Keys and when they are taken as gone.
    due: IndexMap<String, Millis>,
}

impl Missing {
    /// The store answers again.
    pub fn store_regained(&mut self, now: Millis) {
        self.regained = Some(now);
    }

    /// A record has vanished; whether its writer is to be taken as gone at once.
    pub fn vanished(&mut self, now: Millis, key: &str) -> bool {
        let Some(regained) = self.regained.filter(|at| now.since(*at) < AFTER_OUTAGE) else {
            return true;
        };
        self.due.entry(key.to_owned()).or_insert(regained + BACK_WITHIN);
        false
    }

    /// A record is there.
    pub fn present(&mut self, key: &str) {
        self.due.swap_remove(key);
    }

    /// Keys whose writers did not come back.
    pub fn expired(&mut self, now: Millis) -> Vec<String> {
        let due = self.due.iter().filter(|(_, at)| now >= **at);
        let keys: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.due.swap_remove(key);
        }
        keys
    }
}
