//! The queue of what happens next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The arrival with this place.
    Arrival(usize),
    /// An iteration of the replica may end.
    Iteration(usize),
    /// Every replica reports.
    Report,
    /// A timer of the node's router.
    Timer(usize),
    /// The reclaim with this place is noticed.
    ReclaimNotice(usize),
    /// The reclaim with this place takes place.
    Reclaim(usize),
    /// The replicas of the reclaim with this place are replaced.
    Replacement(usize),
}

/// Due events by time; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub struct Queue {
    last_number: u64,
    heap: BinaryHeap<Reverse<Entry>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at_us: u64,
    number: u64,
    event: Event,
}

impl Queue {
    /// Adds an event.
    pub fn schedule(&mut self, at_us: u64, event: Event) {
        self.last_number += 1;
        let number = self.last_number;
        self.heap.push(Reverse(Entry { at_us, number, event }));
    }

    /// Takes the earliest event and its time.
    pub fn pop(&mut self) -> Option<Scheduled> {
        let Reverse(entry) = self.heap.pop()?;
        Some(Scheduled {
            at_us: entry.at_us,
            event: entry.event,
        })
    }
}

/// An event with its time.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    pub at_us: u64,
    pub event: Event,
}
