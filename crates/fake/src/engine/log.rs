//! Log of cache events, which readers see with a lag and with gaps.

use std::collections::VecDeque;

use base::Millis;
use base::seed::Generator;

use super::Event;
use super::model::cache::Change;
use crate::fault::Trigger;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Bounded log of cache events.
#[derive(Debug)]
pub struct Log {
    lag: Millis,
    gaps: Trigger,
    rng: Generator,
    last_number: u64,
    events: VecDeque<Entry>,
}

#[derive(Debug)]
struct Entry {
    written_at: Millis,
    event: Event,
}

impl Log {
    pub fn new(lag: Millis, gaps: Trigger, rng: Generator) -> Self {
        Self {
            lag,
            gaps,
            rng,
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Assigns a number to a change and stores it, unless the gap fault drops it.
    pub fn push(&mut self, now: Millis, change: Change) {
        if change.stored.is_empty() && change.removed.is_empty() {
            return;
        }
        self.last_number += 1;
        if self.gaps.fires(&mut self.rng) {
            return;
        }
        let event = Event {
            number: self.last_number,
            stored: change.stored,
            removed: change.removed,
        };
        self.events.push_back(Entry {
            written_at: now,
            event,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with numbers above `number` that are visible at `now`.
    pub fn after(&self, now: Millis, number: u64) -> Vec<Event> {
        let visible = self
            .events
            .iter()
            .filter(|entry| entry.written_at + self.lag <= now);
        let later = visible.filter(|entry| entry.event.number > number);
        later.map(|entry| entry.event.clone()).collect()
    }
}
