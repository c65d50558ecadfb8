//! A model of the key-value service.

use rollout::event::StoreResult;
use rollout::{Record, Stored};

/// A fault of the next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The write takes effect later, and its answer is lost.
    Delayed,
}

#[derive(Debug, Default)]
pub struct Kv {
    pub stored: Option<Stored>,
    pub down: bool,
    pub fault: Option<Fault>,
    delayed: Option<(Record, u64)>,
}

impl Kv {
    pub fn store(&mut self, record: Record, expected: u64) -> StoreResult {
        if self.down {
            return StoreResult::Unavailable;
        }
        match self.fault.take() {
            Some(Fault::Delayed) => {
                self.delayed = Some((record, expected));
                StoreResult::Lost
            }
            Some(Fault::AnswerLost) => {
                self.compare_and_swap(record, expected);
                StoreResult::Lost
            }
            _ => self.compare_and_swap(record, expected),
        }
    }

    /// Applies a delayed write.
    pub fn deliver_delayed(&mut self) {
        if let Some((record, expected)) = self.delayed.take() {
            self.compare_and_swap(record, expected);
        }
    }

    fn compare_and_swap(&mut self, record: Record, expected: u64) -> StoreResult {
        let generation = self.stored.as_ref().map_or(0, |stored| stored.generation);
        if generation != expected {
            return StoreResult::Conflict(self.stored.clone().map(Box::new));
        }
        if let Some(before) = self.stored.as_ref().map(|stored| &stored.record) {
            let same = before.plan.id == record.plan.id;
            let kept = before.verdict.is_none() || before.verdict == record.verdict;
            assert!(!same || kept, "a verdict was changed: {before:?} to {record:?}");
            assert!(same || before.verdict.is_some(), "a running rollout was replaced");
            assert!(
                before.write.fence <= record.write.fence,
                "a superseded holder wrote"
            );
        }
        self.stored = Some(Stored {
            record,
            generation: generation + 1,
        });
        StoreResult::Ok(generation + 1)
    }
}
