//! Parts that were processed without a crash.

use base::Millis;
use indexmap::IndexMap;

/// Maximum number of parts remembered.
const MAX_PARTS: usize = 4_096;

/// The last time at which each part was processed without a crash. Forgets the parts that were not processed for the
/// longest time, in batches.
#[derive(Clone, Debug, Default)]
pub(crate) struct Survivors {
    times: IndexMap<u64, Millis>,
}

impl Survivors {
    pub fn record(&mut self, at: Millis, part: u64) {
        let time = self.times.entry(part).or_insert(at);
        *time = (*time).max(at);
        if self.times.len() > MAX_PARTS {
            self.times.sort_by(|_, a, _, b| b.cmp(a));
            self.times.truncate(MAX_PARTS / 2);
        }
    }

    pub fn last(&self, part: u64) -> Option<Millis> {
        self.times.get(&part).copied()
    }
}
