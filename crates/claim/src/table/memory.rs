//! Eviction, which bounds the memory of a table.

use base::Millis;

use super::Table;
use super::entry::State;
use super::import::Import;
use crate::Completion;

impl Table {
    /// Evicts keys and imports that are older than the key lifetime.
    pub(super) fn expire(&mut self, now: Millis) {
        let before = self.window.low();
        self.window.expire(now);
        if self.window.low() > before {
            self.forget_below_low();
        }
        let lifetime = self.limits.lifetime;
        self.imports
            .retain(|_, import| now.since(import.received_at()) < lifetime);
    }

    /// Makes room for one more running key. The low-water mark is never raised above `number_to_run`, the key to start.
    pub(super) fn make_room(&mut self, number_to_run: u64) -> bool {
        if self.running() >= self.limits.keys / 2 {
            return false;
        }
        if self.entries.len() < self.limits.keys {
            return true;
        }
        let Some(lowest) = self.ended.first().copied() else {
            return false;
        };
        if lowest > number_to_run {
            return false;
        }
        self.window.raise_low(lowest + 1);
        self.forget_below_low();
        true
    }

    /// Drops imports while they hold too many keys, then recorded responses while they take too many bytes.
    pub(super) fn enforce_limits(&mut self) {
        while self.imported() > self.limits.imported {
            self.imports.shift_remove_index(0);
        }
        while self.bytes + self.imported_bytes() > self.limits.bytes {
            if !self.drop_oldest_record() && !self.drop_imported_records() {
                return;
            }
        }
    }

    pub(super) fn imported_bytes(&self) -> usize {
        self.imports.values().map(Import::bytes).sum()
    }

    fn imported(&self) -> usize {
        self.imports.values().map(Import::len).sum()
    }

    fn forget_below_low(&mut self) {
        let low = self.window.low();
        while let Some(number) = self.ended.first().copied() {
            if number >= low {
                break;
            }
            self.ended.remove(&number);
            self.drop_record(number);
            self.entries.swap_remove(&number);
        }
    }

    fn drop_oldest_record(&mut self) -> bool {
        let Some(number) = self.recorded.first().copied() else {
            return false;
        };
        self.drop_record(number);
        true
    }

    fn drop_record(&mut self, number: u64) {
        if !self.recorded.remove(&number) {
            return;
        }
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        if let State::Ended(completion) = &mut entry.state {
            self.bytes -= completion.bytes();
            *completion = Completion::Dropped;
        }
    }

    fn drop_imported_records(&mut self) -> bool {
        let Some(import) = self.imports.values_mut().find(|import| import.bytes() > 0) else {
            return false;
        };
        import.drop_records();
        true
    }
}
