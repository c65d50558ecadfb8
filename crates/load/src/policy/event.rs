//! Event queue of the simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A simulation event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// Arrival of the call with this index.
    Arrival(usize),
    /// An iteration of the engine at this replica may end.
    Iteration(usize),
    /// All replicas send load reports.
    Report,
    /// A timer of the router of this node.
    Timer(usize),
    /// Notice for the reclaim with this index.
    ReclaimNotice(usize),
    /// Execution of the reclaim with this index.
    Reclaim(usize),
    /// Start of the replacement replicas for the reclaim with this index.
    Replacement(usize),
}

/// Events ordered by time, then by insertion order.
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
    /// Schedules an event.
    pub fn schedule(&mut self, at_us: u64, event: Event) {
        self.last_number += 1;
        let number = self.last_number;
        self.heap.push(Reverse(Entry { at_us, number, event }));
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<Scheduled> {
        let Reverse(entry) = self.heap.pop()?;
        Some(Scheduled {
            at_us: entry.at_us,
            event: entry.event,
        })
    }
}

/// An event and its scheduled time.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    pub at_us: u64,
    pub event: Event,
}
