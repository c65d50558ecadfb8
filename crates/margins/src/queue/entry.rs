//! An event that is held back.

use std::cmp::Ordering;

use crate::{Event, Time};

/// An event, ordered so that the earliest is the greatest, as a binary heap returns the greatest first.
#[derive(Debug)]
pub struct Entry {
    /// Time of the event.
    pub at: Time,
    /// Number of the event in the order of the lines.
    pub number: u64,
    /// The event.
    pub event: Event,
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}
