//! Cache events as readers see them: late and with gaps.

use std::collections::VecDeque;

use base::Millis;
use base::seed::Generator;

use super::Event;
use super::model::cache::Change;
use crate::fault::Trigger;

/// Events kept for readers.
const KEPT: usize = 4_096;

/// The log of cache events.
#[derive(Debug)]
pub struct Log {
    lag: Millis,
    gaps: Trigger,
    random: Generator,
    number: u64,
    events: VecDeque<Written>,
}

#[derive(Debug)]
struct Written {
    at: Millis,
    event: Event,
}

impl Log {
    pub fn new(lag: Millis, gaps: Trigger, random: Generator) -> Self {
        Self {
            lag,
            gaps,
            random,
            number: 0,
            events: VecDeque::new(),
        }
    }

    /// Numbers a change and keeps it, or loses it.
    pub fn push(&mut self, now: Millis, change: Change) {
        if change.stored.is_empty() && change.removed.is_empty() {
            return;
        }
        self.number += 1;
        if self.gaps.fires(&mut self.random) {
            return;
        }
        let event = Event {
            number: self.number,
            stored: change.stored,
            removed: change.removed,
        };
        self.events.push_back(Written { at: now, event });
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// Events above a number that are old enough to be seen.
    pub fn after(&self, now: Millis, number: u64) -> Vec<Event> {
        let seen = self.events.iter().filter(|written| written.at + self.lag <= now);
        let later = seen.filter(|written| written.event.number > number);
        later.map(|written| written.event.clone()).collect()
    }
}
