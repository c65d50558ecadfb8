//! The queue of what happens next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The arrival with this place.
    Arrive(usize),
    /// An iteration of the replica may end.
    Engine(usize),
    /// Every replica reports.
    Report,
    /// A timer of the node's router.
    Timer(usize),
    /// The reclaim with this place is noticed.
    Notice(usize),
    /// The reclaim with this place takes place.
    Reclaim(usize),
    /// The replicas of the reclaim with this place are replaced.
    Replace(usize),
}

/// Due events by time; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub struct Agenda {
    added: u64,
    heap: BinaryHeap<Reverse<Entry>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at_us: u64,
    number: u64,
    due: Due,
}

impl Agenda {
    /// Adds an event.
    pub fn add(&mut self, at_us: u64, due: Due) {
        self.added += 1;
        let number = self.added;
        self.heap.push(Reverse(Entry { at_us, number, due }));
    }

    /// Takes the earliest event and its time.
    pub fn next(&mut self) -> Option<Next> {
        let Reverse(entry) = self.heap.pop()?;
        Some(Next {
            at_us: entry.at_us,
            due: entry.due,
        })
    }
}

/// An event with its time.
#[derive(Clone, Copy, Debug)]
pub struct Next {
    pub at_us: u64,
    pub due: Due,
}
