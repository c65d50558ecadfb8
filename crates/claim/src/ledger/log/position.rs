//! The order in which claims were last stated.

use std::collections::VecDeque;

use crate::ledger::Key;

/// Statements of claims in the order of the log; may name claims that are gone or were stated anew.
#[derive(Debug, Default)]
pub(super) struct Positions(VecDeque<Position>);

/// One statement of a claim.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    pub key: Key,
    pub sequence: u64,
}

impl Positions {
    pub fn push(&mut self, key: Key, sequence: u64) {
        self.0.push_back(Position { key, sequence });
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn iter(&self) -> std::collections::vec_deque::Iter<'_, Position> {
        self.0.iter()
    }

    /// Drops statements from the front while `stale`, and gives the first one left.
    pub fn first<S>(&mut self, stale: S) -> Option<Position>
    where
        S: Fn(&Position) -> bool,
    {
        while self.0.front().is_some_and(&stale) {
            self.0.pop_front();
        }
        self.0.front().copied()
    }

    /// Drops every statement that is `stale`.
    pub fn sweep<S>(&mut self, stale: S)
    where
        S: Fn(&Position) -> bool,
    {
        self.0.retain(|position| !stale(position));
    }
}
