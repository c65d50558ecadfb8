//! Brings events into the order of their times.
//!
//! That a request was sent is known only at its end, so events are held back for as long as a request may last.

mod entry;

use std::collections::BinaryHeap;

use self::entry::Entry;
use crate::{Event, Time};

/// Maximum number of events that are held back.
const MAX_EVENTS: usize = 1 << 21;

/// Events by time.
#[derive(Debug)]
pub struct Queue {
    entries: BinaryHeap<Entry>,
    horizon_ms: i64,
    newest: Time,
    released: Time,
    next: u64,
    late: u64,
    forced: u64,
}

impl Queue {
    /// Creates a queue that holds events back for this time.
    pub const fn new(horizon_ms: i64) -> Self {
        Self {
            entries: BinaryHeap::new(),
            horizon_ms,
            newest: Time::MIN,
            released: Time::MIN,
            next: 0,
            late: 0,
            forced: 0,
        }
    }

    /// Records that a line has this time.
    pub fn advance(&mut self, now: Time) {
        self.newest = self.newest.max(now);
    }

    /// Adds an event. Events of the same time keep their order.
    pub fn push(&mut self, at: Time, event: Event) {
        if at < self.released {
            self.late += 1;
            return;
        }
        let number = self.next;
        self.next += 1;
        self.entries.push(Entry { at, number, event });
    }

    /// Takes the next event that no other event can precede.
    pub fn pop_due(&mut self) -> Option<(Time, Event)> {
        let is_due = self.entries.peek()?.at <= self.newest - self.horizon_ms;
        if !is_due && self.entries.len() <= MAX_EVENTS {
            return None;
        }
        self.forced += u64::from(!is_due);
        self.pop()
    }

    /// Takes the next event at the end of the logs.
    pub fn pop(&mut self) -> Option<(Time, Event)> {
        let Entry { at, event, .. } = self.entries.pop()?;
        self.released = at;
        Some((at, event))
    }

    /// Number of events that were left out because later ones had been judged already.
    pub const fn late(&self) -> u64 {
        self.late
    }

    /// Number of events that were judged early because there was no room to hold them back.
    pub const fn forced(&self) -> u64 {
        self.forced
    }
}
